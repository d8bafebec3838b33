# Functions that run the whole system on loopback, for demo.sh and upgrade.sh: one weight
# store, six model engines and two plain services with an agent each, and three control
# and three entry instances in three zones. Settings and logs are kept in run/NAME.*.

LOAD_TIME=${LOAD_TIME:-15s}
LOAD_RATE=${LOAD_RATE:-50}
LOAD_SEED=${LOAD_SEED:-1}
ENGINES=6
PLAINS=2
CONTROLS=${CONTROLS:-3}
ENTRIES=3
EXAMPLE=examples/demo
# Number of consecutive ports, starting at a free base port; see port().
PORTS=50

declare -A pids=()
# program_dirs maps a process to the directory of its program, if that is not bin/.
declare -A program_dirs=()

stop_all() {
	trap - EXIT INT TERM
	local name
	for name in "${!pids[@]}"; do
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 1' INT TERM

log() { printf '%(%H:%M:%S)T %s\n' -1 "$*"; }

fail() {
	log "FAILED: $*"
	tail -qn 3 "$dir"/*.log 2>/dev/null | head -60 || true
	exit 1
}

# port_used PORT: succeeds if something listens on the port.
port_used() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# free_base prints the first of PORTS consecutive unused ports. They are below the
# ephemeral ports, so that no outgoing connection takes one of them.
free_base() {
	local try base p
	for try in 1 2 3 4 5 6 7 8 9 10; do
		base=$((18000 + (RANDOM % 250) * PORTS))
		for ((p = base; p < base + PORTS; p++)); do
			if port_used "$p"; then continue 2; fi
		done
		echo "$base"
		return
	done
	return 1
}

# port KIND NUMBER: prints the port of the process; numbers start at 1.
port() {
	case $1 in
	store) echo "$base" ;;
	engine) echo $((base + $2)) ;;
	plain) echo $((base + 10 + $2)) ;;
	agent) echo $((base + 20 + $2)) ;;
	control) echo $((base + 30 + $2)) ;;
	entry) echo $((base + 40 + $2)) ;;
	esac
}
addr() { echo "127.0.0.1:$(port "$@")"; }

# addrs KIND COUNT: prints the addresses of the first COUNT processes, separated by commas.
addrs() {
	local i list=
	for ((i = 1; i <= $2; i++)); do list+=,$(addr "$1" "$i"); done
	echo "${list#,}"
}

# zone NUMBER: assigns the zones round robin.
zone() { echo "zone$((($1 - 1) % 3 + 1))"; }

# start NAME PROGRAM ARGUMENT...: runs a program in the background, with its output
# appended to NAME.log.
start() {
	local name=$1 program=$2
	shift 2
	"${program_dirs[$name]:-bin}/$program" "$@" >>"$dir/$name.log" 2>&1 &
	pids[$name]=$!
}

start_controls() {
	local i
	for ((i = 1; i <= CONTROLS; i++)); do start "c$i" bulrush-control "$dir/c$i.ini"; done
}

# kill_processes NAME...: sends SIGKILL and waits for the processes to exit.
kill_processes() {
	local name
	for name in "$@"; do
		log "kill -9 $name (pid ${pids[$name]})"
		kill -KILL "${pids[$name]}"
		wait "${pids[$name]}" 2>/dev/null || true
		unset "pids[$name]"
	done
}

# wait_until SECONDS WHAT COMMAND...: polls until the command succeeds; fails after SECONDS.
wait_until() {
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= end)); then fail "$what: timed out"; fi
		sleep 0.1
	done
}

ready() {
	local line
	exec 3<>"/dev/tcp/127.0.0.1/$(port entry "$1")" || return 1
	printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
	read -r -t 2 line <&3 || true
	exec 3>&-
	[[ ${line-} == *" 200 "* ]]
}

ctl() {
	local command=$1
	shift
	bin/bulrushpath "$command" --control "$controls" "$@"
}

# status prints the state of the system. Exit code 4 means that some process has not
# acknowledged the current configuration; it counts as success here.
status() { ctl status || (($? == 4)); }

targets_registered() { (($(status | grep -cE '^[a-z0-9]+ +(engine|plain) .* ready ') == ENGINES + PLAINS)); }

# resident MODEL: succeeds if the model has its wanted copies, each with all its adapters.
resident() {
	local text
	text=$(ctl explain "$1") || return 1
	[[ $text == *"resident at"* && $text != *"wanted copies are ready"* ]] || return 1
	! grep -E 'resident at' <<<"$text" | grep -vE ' ([0-9]+) of \1 adapters'
}

write_settings() {
	local i peers=
	for ((i = 1; i <= CONTROLS; i++)); do peers+=,c$i=$(addr control "$i"); done
	for ((i = 1; i <= CONTROLS; i++)); do
		printf '[process]\nname = c%d\nzone = %s\n[control]\nid = c%d\nlisten = %s\npeers = %s\ndataDir = %s\n' \
			"$i" "$(zone "$i")" "$i" "$(addr control "$i")" "${peers#,}" "$dir/data$i" >"$dir/c$i.ini"
		mkdir -p "$dir/data$i"
	done
	for ((i = 1; i <= ENTRIES; i++)); do
		printf '[process]\nname = n%d\nzone = %s\n[entry]\nlisten = %s\ncontrol = %s\n' \
			"$i" "$(zone "$i")" "$(addr entry "$i")" "$controls" >"$dir/n$i.ini"
	done
	for ((i = 1; i <= ENGINES; i++)); do
		local team=oak
		if ((i > ENGINES / 2)); then team=cup; fi
		agent_settings "$i" "e$i" "$(addr engine "$i")" "kind = engine" "$team"
	done
	for ((i = 1; i <= PLAINS; i++)); do
		agent_settings $((ENGINES + i)) "p$i" "$(addr plain "$i")" $'kind = plain\nservice = ledger' oak
	done
}

# agent_settings NUMBER TARGET ADDRESS KIND TEAM: writes the settings file of an agent.
agent_settings() {
	printf '[process]\nname = a-%s\nzone = %s\n[agent]\ntarget = %s\nlisten = %s\nurl = http://%s\n%s\nteam = %s\ncontrol = %s\n' \
		"$2" "$(zone "$1")" "$2" "$(addr agent "$1")" "$3" "$4" "$5" "$controls" >"$dir/a-$2.ini"
}

start_all() {
	local i
	start store bulrush-standin weights --listen "$(addr store)" --rate 40 --burst 8 --at-once 8 --load-time 300ms
	for ((i = 1; i <= ENGINES; i++)); do
		# Every third engine ignores fencing tokens. No engine rejects a load that
		# does not fit, so that an overcommit is counted in its audit.
		local fencing=--fencing
		if ((i % 3 == 0)); then fencing=--no-fencing; fi
		start "e$i" bulrush-standin engine --listen "$(addr engine "$i")" --store "$(addr store)" \
			--memory 16GiB --token-time 6ms --no-strict $fencing
	done
	for ((i = 1; i <= PLAINS; i++)); do
		: >"$dir/p$i.journal"
		start "p$i" bulrush-standin plain --listen "$(addr plain "$i")" --journal "$dir/p$i.journal"
	done
	start_controls
	for ((i = 1; i <= ENGINES; i++)); do start "a-e$i" bulrush-agent "$dir/a-e$i.ini"; done
	for ((i = 1; i <= PLAINS; i++)); do start "a-p$i" bulrush-agent "$dir/a-p$i.ini"; done
	for ((i = 1; i <= ENTRIES; i++)); do start "n$i" bulrush-entry "$dir/n$i.ini"; done
}

# models prints NAME@VERSION[+ADAPTER...] for each model of the example.
models() {
	awk '/^\[/ { kind = $1; name = $2; sub(/\]$/, "", name) }
		kind == "[model" && $1 == "version" { names[++n] = name; version[name] = $3 }
		kind == "[adapter" && /^\[/ { split(name, p, "/"); adapters[p[1]] = adapters[p[1]] "+" p[2] }
		END { for (i = 1; i <= n; i++) print names[i] "@" version[names[i]] adapters[names[i]] }' "$EXAMPLE"/*.ini
}

# leader prints the name of the control leader; it fails if there is none.
leader() { status | sed -n 's/^leader \([^,]\+\),.*/\1/p' | grep .; }

# start_system NAME: writes the settings, starts all processes, publishes the example, and
# returns when all models are resident. Settings and logs are in run/NAME.*.
start_system() {
	local i m
	mkdir -p run
	dir=$(mktemp -d "run/$1.XXXXXX")
	base=$(free_base) || fail "no free ports"
	controls=$(addrs control $CONTROLS)
	log "settings and logs in $dir, ports from $base"
	write_settings
	start_all
	wait_until 10 "control group" leader
	wait_until 10 "targets registered" targets_registered
	log "publish $EXAMPLE"
	ctl publish "$EXAMPLE" || fail "publish"
	for ((i = 1; i <= ENTRIES; i++)); do wait_until 10 "entry instance n$i ready" ready "$i"; done
	for m in $(models); do wait_until 15 "model ${m%%@*} resident" resident "${m%%@*}"; done
}

# start_load [FLAG...]: starts the mixed load; its report is written to $dir/report.txt.
start_load() {
	local i m flags=()
	for m in $(models); do flags+=(--model "$m"); done
	for ((i = 1; i <= PLAINS; i++)); do flags+=(--journal "$dir/p$i.journal"); done
	log "load of $LOAD_RATE requests/s for $LOAD_TIME"
	bin/bulrush-load --entry "$(addrs entry $ENTRIES)" "${flags[@]}" --route ledger:POST:/reserve \
		--audit "$(addrs engine $ENGINES)" --seed "$LOAD_SEED" --rate "$LOAD_RATE" --time "$LOAD_TIME" \
		--json "$dir/report.json" "$@" >"$dir/report.txt" 2>&1 &
	pids[load]=$!
}

# wait_load waits for the load, prints its report, and fails if a check of the report failed.
wait_load() {
	local ok=0
	wait "${pids[load]}" || ok=$?
	unset "pids[load]"
	cat "$dir/report.txt"
	if ((ok != 0)); then fail "load run; see the faults above and the logs in $dir"; fi
}
