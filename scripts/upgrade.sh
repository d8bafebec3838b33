#!/bin/bash
# Checks that two builds work together: upgrade.sh OLD, where OLD is a folder with the
# programs of another build; the new ones are in bin/.
#
# 1. The control group of the old build takes a configuration, claims and targets, is
#    stopped, and is started again from its disks with the new build, and then back.
# 2. Every other process runs the old build while a mixed load goes on and the control
#    leader is killed.
#
# Each step checks that the configuration and a claim are still there. The load fails if
# a request was lost or doubled, or memory overcommitted.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh

old=${1:?usage: upgrade.sh OLD}
[[ -x $old/bulrush-control ]] || fail "no programs in $old"

# run_from FOLDER NAME...: the processes start from FOLDER from now on.
run_from() {
	local folder=$1 name
	shift
	for name in "$@"; do folders[$name]=$folder; done
}

# stop_gracefully NAME...: SIGTERM, and waits for the end.
stop_gracefully() {
	local name
	for name in "$@"; do
		kill -TERM "${pids[$name]}"
		wait "${pids[$name]}" 2>/dev/null || true
		unset "pids[$name]"
	done
}

# pay prints the head of the response to one payment, always with the same key.
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

# same_state WHAT: the configuration and the claim of the payment are still there.
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
