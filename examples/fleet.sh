#!/usr/bin/env bash
# Builds the programs, starts a small fleet as separate processes on loopback,
# sends calls, overloads it for a few seconds and stops what it started.
#
# Two data centres of the sample atlas.yaml with two nodes each:
#   tanger: t1 balancedesk (calls ridegate for each request), t2 ridegate
#   rabat:  r1 balancedesk, r2 ridegate
set -euo pipefail
cd "$(dirname "$0")/.."

SECONDS_OF_OVERLOAD=${SECONDS_OF_OVERLOAD:-5}
BASE=${BASE_PORT:-21000} # ports BASE to BASE+99 on 127.0.0.1
SECRET=$(head -c 32 /dev/urandom | base64 | tr -d '\n')

work=$(mktemp -d)
pids=()
stop() {
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap stop EXIT

step() { printf '\n== %s\n' "$*"; }
at() { printf '127.0.0.1:%d' $((BASE + $1)); }

step "build"
go build -o "$work" ./cmd/jackdawbridge ./cmd/standin
jb=$work/jackdawbridge
standin=$work/standin

run() { # NAME PROGRAM ARGS...: starts a process with its output in a file
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
}

PLATFORM=$(at 0)
export JACKDAW_PLATFORM=$PLATFORM JACKDAW_SECRET=$SECRET

step "start the stand-in platform, four nodes and their stand-in backend servers"
run platform "$standin" platform --listen "$PLATFORM"

node() { # NAME DATACENTRE NUMBER SERVICE SLOTS [MORE FLAGS OF THE BACKEND SERVER]
	local name=$1 dc=$2 n=$3 service=$4 slots=$5
	shift 5
	run "$name" "$jb" node --instance "$name" --data-centre "$dc" --callers "$(at $((n)))" --peers "$(at $((n + 1)))" \
		--gossip "$(at $((n + 2)))" --rpc "$(at $((n + 3)))" --backend "$(at $((n + 4)))" --admin "$(at $((n + 5)))" \
		--join "$(at 12)" --join "$(at 32)" --log-level warn
	run "$name-backend" "$standin" backend --listen "$(at $((n + 6)))" --node "$(at $((n + 4)))" \
		--service "$service" --slots "$slots" "$@"
}
node t1 tanger 10 balancedesk 4 --service-time 10ms --next ridegate/ride/1
node t2 tanger 20 ridegate 8 --service-time 5ms
node r1 rabat 30 balancedesk 4 --service-time 10ms
node r2 rabat 40 ridegate 8 --service-time 5ms

asks=(--ask "tanger=$(at 13)" --ask "tanger=$(at 23)" --ask "rabat=$(at 33)" --ask "rabat=$(at 43)" --wait 20s)

step "apply the samples"
"$jb" check examples/sentieri.yaml
# The platform and the nodes may still be starting.
for try in $(seq 1 20); do
	if "$jb" apply examples/atlas.yaml "${asks[@]}" >"$work/apply" 2>&1; then break; fi
	[ "$try" -lt 20 ] || { cat "$work/apply"; exit 1; }
	sleep 0.5
done
cat "$work/apply"

step "give keys"
declare -A key
accounts=(tizi-treks ourika-rides ziz-school)
for account in "${accounts[@]}"; do
	"$jb" keys give --account "$account" --label fleet.sh "${asks[@]}" >"$work/give"
	key[$account]=$(sed -n 's/^key //p' "$work/give")
	grep 'data centre' "$work/give"
done

call() { # WHAT CURL-LIKE: one call through the load command with its end
	printf '%-44s' "$1"
	shift
	"$standin" load "$@" --duration 1s | tail -n 1
}

# A new fleet first decides who holds the shares of the accounts, and accounts
# with "unconfirmed: refuse" wait for the first confirmation of their keys.
for try in $(seq 1 40); do
	if call "" --to "$(at 10)" --path /balancedesk/balance/7 --account "tizi-treks:${key[tizi-treks]}:1" | grep -q 'tizi-treks  *1'; then break; fi
	[ "$try" -lt 40 ] || { echo "the first call was not served in 40 s"; exit 1; }
done

step "calls: account, served, shed, refused, unknown, broken, not sent, p50, p99"
call "two hops, tanger" --to "$(at 10)" --path /balancedesk/balance/7 --account "tizi-treks:${key[tizi-treks]}:5"
call "entry at another data centre" --to "$(at 30)" --path /balancedesk/balance/7 --account "ourika-rides:${key[ourika-rides]}:5"
call "wrong key" --to "$(at 10)" --path /balancedesk/balance/7 --account "wrong:wrong:5"

step "overload for ${SECONDS_OF_OVERLOAD} s: four times what balancedesk can serve"
"$standin" load --to "$(at 10)" --to "$(at 20)" --to "$(at 30)" --to "$(at 40)" --path /balancedesk/balance/7 \
	--account "tizi-treks:${key[tizi-treks]}:1600" --account "ourika-rides:${key[ourika-rides]}:1200" \
	--account "ziz-school:${key[ziz-school]}:400" --duration "${SECONDS_OF_OVERLOAD}s" --timeout 500ms

step "withdraw a key"
printf '%s\n' "${key[ziz-school]}" | "$jb" keys withdraw --key "${asks[@]}"
call "withdrawn key" --to "$(at 30)" --path /balancedesk/balance/7 --account "ziz-school:${key[ziz-school]}:5"

step "what a node counted"
"$jb" status --admin "$(at 15)"

step "no backend server saw a key"
if grep -l -e Authorization -e "${key[tizi-treks]}" "$work"/*-backend.log; then
	echo "a key reached a backend server"
	exit 1
fi
echo "none in $(cat "$work"/*-backend.log | wc -l) requests"

step "stop"
