/*
 * RPC protocol between the VMs of a fleet: ONC RPC version 2 (RFC 5531) over
 * UDP with XDR encoding (RFC 4506). Delivery is unreliable; the sender
 * retransmits calls that must not be lost. Numbers named _ms are milliseconds.
 */

/* Largest lengths of strings and values in bytes, and of arrays in elements. */

const WIRE_NAME = 63;
const WIRE_ADDRESS = 55;
const WIRE_KEY = 159;
const WIRE_VALUE = 49152;
const WIRE_RUMORS = 8;
const WIRE_OBJECTS = 256;
const WIRE_NEWS_MAX = 64;
const WIRE_ISOLATED_MAX = 4;
const WIRE_CRASHES = 3;
const WIRE_QUARANTINE_MAX = 32;
const WIRE_LOADS_MAX = 64;
const WIRE_REGION_LOADS_MAX = 32;
const WIRE_USAGE_MAX = 64;
const WIRE_LOW_MAX = 64;
const WIRE_DEMAND_MAX = 96;

/* A VM of the fleet: its identity, addresses and membership state (enum
 * member_state). */
struct wire_vm {
	string name<WIRE_NAME>;
	string region<WIRE_NAME>;
	string domain<WIRE_NAME>;
	string http<WIRE_ADDRESS>;
	string rpc<WIRE_ADDRESS>;
	hyper incarnation;
	int state;
};

/* Version of the store (its era in the bits from 40 on, its revision below) up to
 * which the sender's replica of the configuration is complete, and the digest of
 * that replica. */
struct wire_digest {
	hyper complete;
	unsigned hyper sum;
};

/* Checks whether the receiver is live. "rumor" carries membership updates. */
struct wire_probe {
	wire_vm from;
	hyper sequence;
	wire_digest digest;
	wire_vm rumor<WIRE_RUMORS>;
};

/* Acknowledges a probe, direct or indirect, with the same sequence number. */
struct wire_ack {
	wire_vm from;
	hyper sequence;
	wire_digest digest;
	wire_vm rumor<WIRE_RUMORS>;
};

/* Asks the receiver to probe the VM at "target" on behalf of the sender. */
struct wire_indirect {
	wire_vm from;
	hyper sequence;
	string target<WIRE_ADDRESS>;
};

/* A configuration object. "revision" is the version of the object's last change;
 * a value of length 0 is the tombstone of a removed object. */
struct wire_object {
	string key<WIRE_KEY>;
	hyper revision;
	opaque value<WIRE_VALUE>;
};

/* All configuration changes after version "after", up to version "complete". */
struct wire_delta {
	hyper after;
	hyper complete;
	/* In a push, the number of VMs that relayed it; in the answer to a
	 * pull, the number of changed objects that did not fit. */
	unsigned int hops;
	wire_object object<WIRE_OBJECTS>;
};

/* Requests the configuration changes after a version. */
struct wire_pull {
	hyper after;
};

/* A claim of an idempotency key, or the outcome of a claimed request, for the
 * VM that writes the claim shard. "status" is an enum claim_status, "code" the
 * HTTP status of the answer. */
struct wire_claim {
	unsigned int shard;
	unsigned hyper key_high;
	unsigned hyper key_low;
	unsigned hyper token;
	int status;
	int code;
};

/* Result of a claim. "verdict" is an enum claim_verdict, "code" a result code
 * (enum prl_code); if another request owns the key, "token", "status" and
 * "http_status" are those of the key's latest record. */
struct wire_verdict {
	int verdict;
	int code;
	unsigned hyper token;
	int status;
	int http_status;
};

/* Asks for capacity tokens of a region; the borrower chooses a random id. */
struct wire_borrow {
	string service<WIRE_NAME>;
	string region<WIRE_NAME>;
	string borrower<WIRE_NAME>;
	unsigned hyper id;
	int tokens;
};

/* Number of tokens lent, 0 if none, and the capacity of the pool when the loan
 * was made, in tokens. */
struct wire_loan {
	int tokens;
	int base;
};

/* Returns the tokens of a loan to the lender. */
struct wire_return {
	string service<WIRE_NAME>;
	string region<WIRE_NAME>;
	unsigned hyper id;
};

/* Reports that an upstream instance has a cold cache for another left_ms. */
struct wire_cold {
	string instance<WIRE_NAME>;
	hyper left_ms;
};

/* What an upstream says of itself in its responses. */
enum wire_news_type {
	WIRE_NEWS_LIMIT = 0,
	WIRE_NEWS_LEAVING = 1
};

/* limit_milli: the requests that it takes from all VMs together, in thousandths of
 * a request per second; negative if it no longer names a limit. */
union wire_news_body switch (wire_news_type type) {
	case WIRE_NEWS_LIMIT:
		hyper limit_milli;
	case WIRE_NEWS_LEAVING:
		void;
};

/* News of an upstream; "upstream" identifies the start of the instance. */
struct wire_news {
	string instance<WIRE_NAME>;
	unsigned hyper upstream;
	wire_news_body body;
};

struct wire_news_list {
	wire_news news<WIRE_NEWS_MAX>;
};

/* Services of which the VM reaches no upstream, by the hashes of their names;
 * none if it reaches all again. "all" is 1 if it reaches none of any service, or
 * if more services than fit are concerned. Of two messages of a VM the one with
 * the greater sequence number counts. */
struct wire_isolation {
	string vm<WIRE_NAME>;
	hyper sequence;
	bool all;
	unsigned hyper service<WIRE_ISOLATED_MAX>;
};

/* Tells that the origin, which reads the store, has a replica that the store
 * confirmed age_ms ago: complete up to a version, with this digest of the objects
 * that exist. Relayed unchanged; the receiver ignores all but the greatest sequence
 * number of an origin. */
struct wire_beat {
	string origin<WIRE_NAME>;
	hyper sequence;
	hyper complete;
	unsigned hyper live_sum;
	int age_ms;
};

/* Objects that the origin read from the store as changed; relayed unchanged. The
 * sequence number selects the relay tree. */
struct wire_changes {
	string origin<WIRE_NAME>;
	hyper sequence;
	wire_object object<WIRE_OBJECTS>;
};

/* A request under which upstreams have ended, by the halves of its digest and the
 * digest of its head: the starts of upstreams that ended since it was last cleared,
 * and how often it was cleared. Without crashes it is no suspect any longer. Of two
 * records the one with the greater clearance counts; else they are united. */
struct wire_quarantine_record {
	unsigned hyper digest_high;
	unsigned hyper digest_low;
	unsigned hyper head;
	hyper clearance;
	unsigned hyper crash<WIRE_CRASHES>;
	int trials;
	hyper kept_era;
};

/* Records that the sender has or has changed. The answer has those of the same
 * requests that the receiver knows better; to a call without records, those that it
 * has. "complete" is 1 if the sender has read the store's or another VM's. */
struct wire_quarantine {
	wire_quarantine_record record<WIRE_QUARANTINE_MAX>;
	bool complete;
};

/* What an upstream said of its load in a response to the sender, age_ms ago: the
 * requests that run and wait there, and how long work takes on its VM in percent of
 * the usual, -1 if it did not say that. */
struct wire_load {
	unsigned hyper upstream;
	int running;
	int waiting;
	int slowness_percent;
	int age_ms;
};

struct wire_load_list {
	wire_load load<WIRE_LOADS_MAX>;
};

/* Requests that run or wait at all upstreams of a service, by the hash of its name,
 * in the sender's region, in thousandths. */
struct wire_region_load {
	unsigned hyper service;
	hyper inflight_milli;
};

struct wire_region_loads {
	string region<WIRE_NAME>;
	wire_region_load load<WIRE_REGION_LOADS_MAX>;
};

/* A VM's counts of a limit that all VMs share, from the start of its process; they
 * wrap. "limit" is the hash of a workspace's or a service's name with its type;
 * "unconfirmed" are tokens taken of which the sender does not know that the receiver
 * has counted them. */
struct wire_usage_entry {
	unsigned hyper limit;
	unsigned int taken;
	unsigned int asked;
	unsigned int deposits;
	unsigned int unconfirmed;
	/* What the sender has taken of its own part while it was not in the sums. */
	unsigned int spent;
};

/* Reports the use of shared limits to the VM that adds it up. "series" differs between
 * the starts of the sender; of two reports of a series the one with the greater
 * sequence number counts. */
struct wire_usage {
	unsigned hyper vm;
	unsigned hyper series;
	unsigned int sequence;
	/* The demand of the regions is asked for. */
	bool wants_demand;
	/* Hash of the name of the sender's region. */
	unsigned hyper region;
	wire_usage_entry entry<WIRE_USAGE_MAX>;
};

/* A limit's credit, in thousandths of a token, the rate at which it grows, and the rate
 * at which all VMs ask for tokens, in thousandths per second. */
struct wire_usage_answer {
	/* 0 if the receiver does not know the limit. */
	bool known;
	hyper credit_milli;
	unsigned int growth_milli;
	unsigned int demand_milli;
};

/* Rate of the requests that come to the VMs of a region for the service whose retry
 * budget is "limit", in thousandths of a request per second. */
struct wire_demand {
	unsigned hyper limit;
	unsigned hyper region;
	unsigned int rate_milli;
};

/* Answers a report, entry by entry. "counted" is 0 while the sender is not part of the
 * sums yet. "low" are the limits that have little credit; any may have if "all_low". */
struct wire_usage_result {
	bool counted;
	bool all_low;
	/* Part of the VMs that the receiver adds up. */
	unsigned int heard_permille;
	wire_usage_answer answer<WIRE_USAGE_MAX>;
	unsigned hyper low<WIRE_LOW_MAX>;
	wire_demand demand<WIRE_DEMAND_MAX>;
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
		void WIRE_NEWS(wire_news_list) = 9;
		void WIRE_ISOLATION(wire_isolation) = 10;
		void WIRE_BEAT(wire_beat) = 11;
		void WIRE_CHANGES(wire_changes) = 12;
		wire_quarantine WIRE_QUARANTINE(wire_quarantine) = 13;
		wire_usage_result WIRE_USAGE(wire_usage) = 14;
		void WIRE_LOADS(wire_load_list) = 15;
		void WIRE_REGION_LOADS(wire_region_loads) = 16;
	} = 1;
} = 0x20ab7315;
