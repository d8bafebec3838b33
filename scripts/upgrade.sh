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

# run_from FOLDER NAME...: sets the directory of the programs for later starts.
run_from() {
	local folder=$1 name
	shift
	for name in "$@"; do folders[$name]=$folder; done
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

# pay sends a payment, always with the same idempotency key, and prints the response.
pay() {
	local body='{"ref":"upgrade"}'
	exec 3<>"/dev/tcp/127.0.0.1/$(port entry 1)" || return 1
	printf '%s\r\n' 'POST /v1/call/ledger/reserve HTTP/1.1' 'Host: entry' 'Connection: close' 'Content-Type: application/json' \
		'Idempotency-Key: upgrade' 'Bulrush-Non-Idempotent: true' "Bulrush-Issued: $issued" \
		"Content-Length: ${#body}" '' >&3
	printf '%s' "$body" >&3
	timeout 5 cat <&3
	exec 3>&-
}

replayed() { [[ $(pay) == *"Bulrush-Replayed: true"* ]]; }

version() { status | sed -n 's/^leader .*; version \([0-9]*\),.*/\1/p'; }

# same_state WHAT: checks that the configuration and the claim of the payment are kept.
same_state() {
	until_ok 15 "$1: control group" leader
	until_ok 15 "$1: targets" all_registered
	[[ $(version) == "$published" ]] || fail "$1: version $(version), want $published"
	until_ok 5 "$1: claim" replayed
	say "$1: version $published and the claim are kept"
}

all_controls=()
for ((i = 1; i <= CONTROLS; i++)); do all_controls+=("c$i"); done
everything=("${all_controls[@]}")
for ((i = 1; i <= ENTRIES; i++)); do everything+=("n$i"); done
for ((i = 1; i <= ENGINES; i++)); do everything+=("a-e$i"); done
for ((i = 1; i <= PLAINS; i++)); do everything+=("a-p$i"); done

run_from "$old" "${everything[@]}"
boot upgrade
for name in "${everything[@]}"; do
	case $name in c*) program=control ;; n*) program=entry ;; *) program=agent ;; esac
	"bin/bulrush-$program" --check "$dir/$name.ini" || fail "settings of $name"
done
bin/bulrushpath check "$EXAMPLE" || fail "operators' files"
published=$(version)
issued=$(date -u +%Y-%m-%dT%H:%M:%SZ)
[[ $(pay) == *" 200 "* ]] || fail "payment"
same_state "old build"

for folder in bin "$old"; do
	stop_gracefully "${all_controls[@]}"
	run_from "$folder" "${all_controls[@]}"
	start_controls
	same_state "control from $folder"
	start_load
	end_load
done

mixed=(c2 c3 n2 n3)
for ((i = 2; i <= ENGINES; i += 2)); do mixed+=("a-e$i"); done
stop_gracefully c2 c3
run_from bin "${mixed[@]}"
start c2 bulrush-control "$dir/c2.ini"
start c3 bulrush-control "$dir/c3.ini"
for name in "${mixed[@]}"; do
	case $name in
	n*) program=bulrush-entry ;;
	a-*) program=bulrush-agent ;;
	*) continue ;;
	esac
	stop_gracefully "$name"
	start "$name" "$program" "$dir/$name.ini"
done
same_state "mixed builds"
for ((i = 1; i <= ENTRIES; i++)); do until_ok 10 "entry instance n$i ready" ready "$i"; done
start_load
sleep 4
kill_now "$(leader)"
end_load
same_state "mixed builds, a new leader"
say "passed"
