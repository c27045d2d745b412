/*
 * Messages between the VMs of a fleet: ONC RPC version 2 (RFC 5531) over UDP,
 * external data representation by RFC 4506. Every call is answered or lost;
 * the caller repeats those that must not be lost.
 */

const WIRE_NAME = 63;
const WIRE_ADDRESS = 55;
const WIRE_KEY = 159;
const WIRE_VALUE = 49152;
const WIRE_RUMORS = 8;
const WIRE_OBJECTS = 256;

struct wire_vm {
	string name<WIRE_NAME>;
	string region<WIRE_NAME>;
	string domain<WIRE_NAME>;
	string http<WIRE_ADDRESS>;
	string rpc<WIRE_ADDRESS>;
	hyper incarnation;
	int state;
};

/* How far the sender's copy of the configuration goes. */
struct wire_digest {
	hyper complete;
	unsigned hyper sum;
};

/* Asks whether the receiver is live. */
struct wire_probe {
	wire_vm from;
	hyper sequence;
	wire_digest digest;
	wire_vm rumor<WIRE_RUMORS>;
};

struct wire_ack {
	wire_vm from;
	hyper sequence;
	wire_digest digest;
	wire_vm rumor<WIRE_RUMORS>;
};

/* Asks the receiver to probe another VM for the sender. */
struct wire_indirect {
	wire_vm from;
	hyper sequence;
	string target<WIRE_ADDRESS>;
};

struct wire_object {
	string key<WIRE_KEY>;
	hyper revision;
	opaque value<WIRE_VALUE>;
};

/* Every change of the configuration after one revision up to another. */
struct wire_delta {
	hyper after;
	hyper complete;
	/* VMs that relayed it; in the answer to a pull, objects left out. */
	unsigned int hops;
	wire_object object<WIRE_OBJECTS>;
};

struct wire_pull {
	hyper after;
};

/* A claim or note for the writer of a shard. */
struct wire_claim {
	unsigned int shard;
	unsigned hyper key_high;
	unsigned hyper key_low;
	unsigned hyper token;
	int status;
	int code;
};

struct wire_verdict {
	int verdict;
	int code;
	unsigned hyper token;
	int status;
	int http_status;
};

/* Asks for capacity of a region; the id is drawn by the borrower. */
struct wire_borrow {
	string service<WIRE_NAME>;
	string region<WIRE_NAME>;
	string borrower<WIRE_NAME>;
	unsigned hyper id;
	int tokens;
};

struct wire_loan {
	int tokens;
	int base;
};

struct wire_return {
	string service<WIRE_NAME>;
	string region<WIRE_NAME>;
	unsigned hyper id;
};

/* An upstream, by the name of its start, said that it stays cold. */
struct wire_cold {
	string instance<WIRE_NAME>;
	hyper left_ms;
};

program WIRE_PROGRAM {
	version WIRE_VERSION {
		wire_ack WIRE_PROBE(wire_probe) = 1;
		wire_ack WIRE_INDIRECT(wire_indirect) = 2;
		void WIRE_PUSH(wire_delta) = 3;
		wire_delta WIRE_PULL(wire_pull) = 4;
		wire_verdict WIRE_CLAIM(wire_claim) = 5;
		wire_loan WIRE_BORROW(wire_borrow) = 6;
		void WIRE_RETURN(wire_return) = 7;
		void WIRE_COLD(wire_cold) = 8;
	} = 1;
} = 0x20ab7315;
