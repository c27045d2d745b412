# Functions for the bench scripts: start and stop programs on loopback, and read
# their processor time and memory.
bin=build/release/bin
dir=$(mktemp -d)
pids=()

cleanup() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
	rm -rf "$dir"
}
trap cleanup EXIT

start_program() { # log name, command...; sets $last_pid
	local log=$1
	shift
	"$@" >"$dir/$log" 2>&1 &
	last_pid=$!
	pids+=("$last_pid")
}

# User and system time of a process so far, in ms.
cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"
}

# Resident set size of a process, in KiB.
rss_kb() {
	awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

json_number() { # file, key of an integer
	sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$1"
}

ratio() { # a, b: a / b with two decimals
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", b ? a / b : 0 }'
}

write_settings() { # VM name, region, domain, number, base port, store port, further lines
	cat >"$dir/$1.ini" <<-X
		[vm]
		name = $1
		region = $2
		domain = $3
		[listen]
		http = 127.0.0.1:$(($5 + $4))
		rpc = 127.0.0.1:$(($5 + 500 + $4))
		[store]
		address = 127.0.0.1:$6
		[seed a]
		address = 127.0.0.1:$(($5 + 501))
		[seed b]
		address = 127.0.0.1:$(($5 + 502))
		$7
	X
}

wait_lookup() { # VM address, service; exits after 20 s
	local end=$((SECONDS + 20))
	until $bin/primroselead lookup --vm="$1" "$2" 2>/dev/null | grep -q '"vms":\[{'; do
		[ $SECONDS -ge $end ] && { echo "VM $1 is not ready"; exit 1; }
		sleep 0.1
	done
}

put_object() { # store port, key, value
	$bin/standin-load --put="127.0.0.1:$1/admin/objects/$2" --value="$3" >/dev/null 2>&1
}
