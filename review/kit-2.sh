# Functions of the scripts of cases 6 to 10: a fleet on loopback with settings as
# deploy/settings.ini gives them. Sourced by run.sh, in its folder.
set -u
here=$(pwd)
top=$(cd ../.. && pwd)
bin=$top/target/release/bin
stage=$top/target/review-2
trouble=${TROUBLE:-1}
record=$here/record.txt
work=$(mktemp -d)
pids=()
: >"$record"

cannot_run() {
	echo "cannot run: $1" | tee -a "$record"
	exit 2
}

finish() {
	local p
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in "$bin/primroseleadd" "$bin/standin-store" "$bin/standin-load"; do
	[ -x "$program" ] || cannot_run "$program is not built"
done

# Sets "base": the first of 400 ports of which none is in use, below those that
# the kernel gives to outgoing connections.
find_ports() {
	local used try
	used=$(cat /proc/net/tcp /proc/net/udp 2>/dev/null |
		sed -n 's/^ *[0-9]*: [0-9A-F]*:\([0-9A-F]*\) .*/\1/p' | sort -u)
	for try in $(seq 1 50); do
		base=$((20000 + RANDOM % 30 * 400))
		local clash=0 u
		for u in $used; do
			u=$((16#$u))
			[ "$u" -ge "$base" ] && [ "$u" -lt $((base + 400)) ] && clash=1
		done
		[ $clash = 0 ] && return
	done
	cannot_run "no free ports"
}

start() { # log name, command...: sets last_pid
	local log=$1
	shift
	"$@" >>"$work/$log.log" 2>&1 &
	last_pid=$!
	pids+=("$last_pid")
}

start_store() {
	start store "$bin/standin-store" --listen=127.0.0.1:"$base"
	sleep 0.5
}

put() { # key, value: writes to the store as operators and upstreams do
	"$bin/standin-load" --put="127.0.0.1:$base/admin/objects/$1" \
		--value="$2" >/dev/null 2>&1 || cannot_run "the store takes no $1"
}

put_entry() { # instance, port, zone, slots
	put "servers/$1" '{"service":"s","address":"127.0.0.1:'"$2"'",
		"zone":"'"$3"'","version":"v1","slots":'"$4"',"state":"ready",
		"cold_remaining_ms":0,"sequence":1,"born":1700000000000}'
}

put_manifest() { # kind of the route /once/, its timeout_ms
	put config/main '{"version":7,"routes":{"r":{"host":"h.example",
		"path_prefix":"/once/","kind":"'"$1"'","timeout_ms":'"${2:-2500}"',
		"target_latency_ms":600,"priority":1,"service":"s",
		"max_attempts":2,"sticky_sessions":true,"home_regions":[]}},
		"services":{"s":{"health_check_path":"/health",
		"max_connections":390,"cold_start_s":3.0,"cold_per_s":6.9}},
		"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
		"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
}

front_port() { echo $((base + 10 + $1)); }

# Writes the settings of VM n as deploy/settings.ini gives them, and starts it.
start_vm() { # n, region, zone, memory in MB, descriptors
	local n=$1 i=0 x
	{
		cat <<-X
			[vm]
			name = front-$3-$n
			region = $2
			domain = $3
			[listen]
			http = 127.0.0.1:$(front_port "$n")
			rpc = 127.0.0.1:$((base + 40 + n))
			lookup = 127.0.0.1:$((base + 70 + n))
			ready = 127.0.0.1:$((base + 100 + n))
			metrics = 127.0.0.1:$((base + 130 + n))
			[steering]
			source = manifest
			[store]
			address = 127.0.0.1:$base
			[traffic]
			threads = 1
			connections = 4096
			descriptors = $5
			memory = $4
			idle = 20
			[control]
			heartbeat = 250
			suspect = 1500
			drain = 2800
			[seed 0]
			address = 127.0.0.1:$((base + 41))
			[seed 1]
			address = 127.0.0.1:$((base + 42))
		X
		for x in norte-a:norte norte-b:norte centro-a:centro centro-b:centro \
			sur-a:sur sur-b:sur; do
			printf '[domain %s]\nregion = %s\n' "${x%:*}" "${x#*:}"
		done
		for x in drain_timeout_ms=2500 grace_period_s=6 config_apply_ms=2500 \
			retry_budget_ratio=0.2 budget_window_s=10 \
			budget_extra_retries=64 ttl_max_s=5 max_shift=0.15; do
			printf '[bound %d]\nis = %s\n' $i $x
			i=$((i + 1))
		done
	} >"$work/vm$n.ini"
	start "vm$n" env PRIMROSELEAD_SETTINGS="$work/vm$n.ini" \
		"$bin/primroseleadd"
	vm_pid[n]=$last_pid
}
vm_pid=()

wait_ready() { # n: until VM n says that it is ready
	local i
	for i in $(seq 1 100); do
		if exec 9<>"/dev/tcp/127.0.0.1/$((base + 100 + $1))"; then
			printf 'GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
			head -1 <&9 | grep -q ' 200 ' && exec 9>&- && return
			exec 9>&-
		fi 2>/dev/null
		sleep 0.1
	done
	cannot_run "VM $1 is not ready"
}
