#!/bin/bash
# 12 VMs, of which 10 are in norte and centro and two in sur, where all 34
# upstreams of the service are. Callers send unsafe requests to the 10. For 8.5 of
# each 9 s the upstreams refuse part of the requests; for 5 of each 6 s, but not
# with TROUBLE=0, 20 of them also send some refusals a second time, late.
cd "$(dirname "$0")" || exit 2
. ../kit-2.sh
vms=12 fars=10 upstreams=34 faulty=20 seconds=95

find_ports
start_store
for i in $(seq 1 $upstreams); do
	late=0
	[ "$trouble" != 0 ] && [ "$i" -le $faulty ] && late=95
	zone=sur-a
	[ $((i % 2)) = 0 ] && zone=sur-b
	start "upstream$i" "$stage/upstream" --port=$((base + 200 + i)) \
		--instance="i-$i" --slots=6 --queue=18 --work_ms=200 \
		--refuse_permille=300 --late_permille=$late \
		--refuse_ms=8500 --refuse_period_ms=9000 \
		--late_ms=5000 --late_period_ms=6000 \
		--seed="$((RANDOM + i))" --record="$record"
	put_entry "i-$i" $((base + 200 + i)) $zone 6
done
put_manifest unsafe
zones=(norte-a norte-b centro-a centro-b)
for n in $(seq 1 $fars); do
	zone=${zones[$((n % 4))]}
	start_vm "$n" "${zone%-*}" "$zone" 260 4100
done
start_vm 11 sur sur-a 260 4100
start_vm 12 sur sur-b 260 4100
ports=
for n in $(seq 1 $vms); do wait_ready "$n"; done
for n in $(seq 1 $fars); do ports=$ports$(front_port "$n"),; done
sleep 5
"$stage/callers" --ports="${ports%,}" --callers=40 --keys=25 --pause_ms=550 \
	--seconds=$seconds --record="$record" || cannot_run "callers"
sleep 1

awk '
$1 == "sent" { sent++ }
$1 == "run" { ran[$2]++; runs++ }
$1 == "refuse" { refused++ }
$1 == "late" { late++ }
$1 == "answer" { status[$2] = $3; count[$3]++ }
END {
	printf "sent %d, run %d, refused %d, refusals sent late again %d: " \
	       "%.1f in 100 answers\n", sent, runs, refused, late,
	       100 * late / (runs + refused)
	for (s in count) printf "status %s: %d\n", s, count[s]
	for (id in ran) {
		if (ran[id] > 1) { twice++; print "TWICE: " id " ran " ran[id] " times" }
		if (status[id] == 503 || status[id] == 429) {
			lied++; print "REFUSED: " id " ran and was answered " status[id]
		}
	}
	print "requests that ran and were refused: " lied + 0
	print "requests that ran twice: " twice + 0
	if (count[200] < 100) exit 2
	exit lied + twice > 0
}' "$record" >"$work/verdict"
result=$?
cat "$work/verdict" >>"$record"
cat "$work/verdict"
exit $result
