#!/bin/bash
# Checks that two builds are compatible. Usage: upgrade.sh OLD, where OLD is a directory
# with the programs of the old build; those of the new build are in bin/.
#
# 1. The control group starts with the old build and stores a configuration, claims and
#    targets. It is stopped and restarted from its disks with the new build, and then
#    with the old build again.
# 2. Half of the processes run the new build and half the old one, under a mixed load,
#    while the control leader is killed.
#
# Each step checks that the configuration and a claim are kept. The load fails if a
# request was lost or executed twice, or memory was overcommitted.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh

old=${1:?usage: upgrade.sh OLD}
[[ -x $old/bulrush-control ]] || fail "no programs in $old"

# set_program_dir DIRECTORY NAME...: sets the directory of the programs for later starts.
set_program_dir() {
	local program_dir=$1 name
	shift
	for name in "$@"; do program_dirs[$name]=$program_dir; done
}

# stop_gracefully NAME...: sends SIGTERM and waits for the processes to exit.
stop_gracefully() {
	local name
	for name in "$@"; do
		kill -TERM "${pids[$name]}"
		wait "${pids[$name]}" 2>/dev/null || true
		unset "pids[$name]"
	done
}

# send_payment sends a payment, always with the same idempotency key, and prints the response.
send_payment() {
	local body='{"ref":"upgrade"}'
	exec 3<>"/dev/tcp/127.0.0.1/$(port entry 1)" || return 1
	printf '%s\r\n' 'POST /v1/call/ledger/reserve HTTP/1.1' 'Host: entry' 'Connection: close' 'Content-Type: application/json' \
		'Idempotency-Key: upgrade' 'Bulrush-Non-Idempotent: true' "Bulrush-Issued: $issued" \
		"Content-Length: ${#body}" '' >&3
	printf '%s' "$body" >&3
	timeout 5 cat <&3
	exec 3>&-
}

payment_replayed() { [[ $(send_payment) == *"Bulrush-Replayed: true"* ]]; }

version() { status | sed -n 's/^leader .*; version \([0-9]*\),.*/\1/p'; }

# check_state WHAT: checks that the configuration and the claim of the payment are kept.
check_state() {
	wait_until 15 "$1: control group" leader
	wait_until 15 "$1: targets" targets_registered
	[[ $(version) == "$published_version" ]] || fail "$1: version $(version), want $published_version"
	wait_until 5 "$1: claim" payment_replayed
	log "$1: version $published_version and the claim are kept"
}

all_controls=()
for ((i = 1; i <= CONTROLS; i++)); do all_controls+=("c$i"); done
daemons=("${all_controls[@]}")
for ((i = 1; i <= ENTRIES; i++)); do daemons+=("n$i"); done
for ((i = 1; i <= ENGINES; i++)); do daemons+=("a-e$i"); done
for ((i = 1; i <= PLAINS; i++)); do daemons+=("a-p$i"); done

set_program_dir "$old" "${daemons[@]}"
start_system upgrade
for name in "${daemons[@]}"; do
	case $name in c*) program=control ;; n*) program=entry ;; *) program=agent ;; esac
	"bin/bulrush-$program" --check "$dir/$name.ini" || fail "settings of $name"
done
bin/bulrushpath check "$EXAMPLE" || fail "operators' files"
published_version=$(version)
issued=$(date -u +%Y-%m-%dT%H:%M:%SZ)
[[ $(send_payment) == *" 200 "* ]] || fail "payment"
check_state "old build"

for program_dir in bin "$old"; do
	stop_gracefully "${all_controls[@]}"
	set_program_dir "$program_dir" "${all_controls[@]}"
	start_controls
	check_state "control from $program_dir"
	start_load
	wait_load
done

new_processes=(c2 c3 n2 n3)
for ((i = 2; i <= ENGINES; i += 2)); do new_processes+=("a-e$i"); done
stop_gracefully c2 c3
set_program_dir bin "${new_processes[@]}"
start c2 bulrush-control "$dir/c2.ini"
start c3 bulrush-control "$dir/c3.ini"
for name in "${new_processes[@]}"; do
	case $name in
	n*) program=bulrush-entry ;;
	a-*) program=bulrush-agent ;;
	*) continue ;;
	esac
	stop_gracefully "$name"
	start "$name" "$program" "$dir/$name.ini"
done
check_state "mixed builds"
for ((i = 1; i <= ENTRIES; i++)); do wait_until 10 "entry instance n$i ready" ready "$i"; done
start_load
sleep 4
kill_processes "$(leader)"
wait_load
check_state "mixed builds, a new leader"
log "passed"
