#ifndef PRIMROSELEAD_SHARED_LIMIT_H
#define PRIMROSELEAD_SHARED_LIMIT_H

#include <stdatomic.h>
#include <stdint.h>

/*
 * A limit that all VMs share in the sum, such as the quota of a workspace or
 * the retry budget of a service: a token bucket whose credit grows with time or
 * with requests. One VM, the aggregator (usage_total.h), keeps the credit; each
 * VM takes from what it last heard of it, less what it has taken since, at a
 * pace at which all VMs together use up the growth. A VM that hears nothing
 * uses an equal part of the limit on its own. Rates are in thousandths of an
 * event per second, credits and amounts ending in _milli in thousandths of a
 * token.
 */

/** What a limit allows all VMs together. */
struct limit_terms {
	/** Growth of the credit with time. */
	int64_t rate_milli;
	/** Growth of the credit by each request, in thousandths of a token. */
	int64_t deposit_permille;
	/** Upper bound of the credit. */
	int64_t burst_milli;
	/** Time in ms in which a surplus of credit is used up, or a lack of it
	 * made good. */
	int64_t pace_ms;
	/** Demand rises at all VMs at once: a VM uses the common credit only
	 * after an answer that covers what others ask. */
	int rises_everywhere;
};

/** A VM's counts of one limit, from the start of the process. */
struct limit_usage {
	/** Tokens taken, and asked for. */
	int64_t taken;
	int64_t asked;
	/** Requests that the credit grows by. */
	int64_t deposits;
};

/** What the aggregator says of a limit. */
struct limit_answer {
	/** The credit, with the tokens taken that the question named. */
	int64_t credit_milli;
	/** Rate at which it grows, and at which all VMs ask for tokens. */
	int64_t growth_milli;
	int64_t demand_milli;
};

/** A limit as the traffic threads use it. Any thread may take from it; the
 * control thread alone sets it. Starts as all zero. */
struct shared_limit {
	_Atomic int64_t taken;
	_Atomic int64_t asked;
	_Atomic int64_t deposits;
	/** Credit when the counts had the values ..._base, and its upper bound.
	 */
	_Atomic int64_t credit_milli;
	_Atomic int64_t burst_milli;
	_Atomic int64_t deposit_permille;
	_Atomic int64_t taken_base;
	_Atomic int64_t deposits_base;
	/** Pace: growth of the credit, and the rates at which the other VMs
	 * asked, and this one up to "asked_base". */
	_Atomic int64_t growth_milli;
	_Atomic int64_t pace_ms;
	_Atomic int64_t others_milli;
	_Atomic int64_t own_milli;
	_Atomic int64_t asked_base;
	/** Sum of the parts of a token that requests were worth; a request that
	 * completes a whole one gets it. */
	_Atomic int64_t paced_permille;
	/** Requests that got no token. */
	_Atomic int64_t refused;
};

/** Lets a VM that knows nothing of the others use a small part of a limit of a
 * fleet of this many VMs. Has no effect once the limit is in use. */
void shared_limit_prepare(struct shared_limit *l,
			  const struct limit_terms *terms, int vms);

/** Counts a request that the credit grows by. */
void shared_limit_deposit(struct shared_limit *l);

/** Takes a token. Returns 1, or 0 if there is none for this request. */
int shared_limit_take(struct shared_limit *l);

/** Gives back a token that was not used. */
void shared_limit_give_back(struct shared_limit *l);

/** Returns the credit as this VM knows it; may be negative. */
int64_t shared_limit_credit(const struct shared_limit *l);

/** Returns the time in ms until there is credit for a request, at least 0. */
int64_t shared_limit_wait_ms(const struct shared_limit *l);

/** Returns this VM's counts. */
struct limit_usage shared_limit_usage(const struct shared_limit *l);

/** Whether a VM uses its own part of a limit or the common credit. */
enum limit_mode {
	LIMIT_ALONE,
	LIMIT_FOLLOWING,
};

/** The control thread's state of one limit. Starts as all zero. */
struct limit_follower {
	struct limit_terms terms;
	enum limit_mode mode;
	/** Last answer, the counts and own rate that were sent with its
	 * question, and when that was sent; 0 if there is none. */
	struct limit_answer answer;
	struct limit_usage reported;
	int64_t own_reported_milli;
	int64_t answered_ms;
	/** Tokens taken while alone, beyond the VM's part and of it, that no
	 * answer covers yet. */
	int64_t alone_debt;
	int64_t alone_spent;
	/** Credit while alone, up to "usage". */
	int64_t alone_milli;
	int64_t alone_rest;
	struct limit_usage usage;
	/** Average rates at which this VM asks, and at which it deposits. */
	int64_t own_milli;
	int64_t own_deposits_milli;
	int64_t updated_ms;
	/** limit_fleet.vms at the last update. */
	int vms;
	/** When the counts were last sent, and when they were first sent
	 * without an answer yet; 0 if there is none to come. */
	int64_t sent_ms;
	int64_t waiting_since_ms;
};

/** State of the whole fleet as a VM knows it. */
struct limit_fleet {
	int64_t now_ms;
	/** Number of VMs that may be running, this one included. */
	int vms;
	/** When the last question was sent that the aggregator has answered; 0
	 * if none. */
	int64_t answered_ms;
	/** Part of the VMs that the aggregator adds up, in permille. */
	int heard_permille;
	/** The aggregator counts the limit among those with little credit. */
	int is_low;
	/** Differs between VMs, so that they do not take in step. */
	uint64_t random;
};

/** A rule for the requests in a window: at most rate x window + burst, exceeded
 * by at most overage_permille of that and "slack" requests. */
struct limit_window {
	int64_t window_ms;
	int64_t overage_permille;
	int64_t slack;
};

/** Returns the terms of a quota. A part of what the window tolerates is added
 * to the burst; the rest is for what VMs take before they hear of each other.
 */
struct limit_terms shared_limit_quota_terms(int64_t rate_milli,
					    int64_t burst_milli,
					    const struct limit_window *w);

/** Returns the terms of a retry budget of "permille" of the requests and
 * "extra" retries, without what VMs may send before they hear of each other. */
struct limit_terms shared_limit_retry_terms(int64_t permille, int64_t extra);

/** Sets the terms of a limit. */
void limit_follower_set_terms(struct limit_follower *f,
			      const struct limit_terms *terms);

/** Brings the limit up to date; called at each tick. */
void limit_follower_update(struct limit_follower *f, struct shared_limit *l,
			   const struct limit_fleet *fleet);

/** Whether the counts are to be sent to the aggregator now. */
int limit_follower_must_report(const struct limit_follower *f,
			       const struct shared_limit *l, int64_t now_ms);

/** Counts of a limit as they were sent in a question. */
struct limit_report {
	struct limit_usage usage;
	/** Tokens taken since those of the last answer; of a VM that was alone,
	 * only those beyond its part. */
	int64_t unconfirmed;
	/** Tokens that a VM that was alone has taken of its part. */
	int64_t spent;
	int64_t own_milli;
	int64_t sent_ms;
};

/** Notes that the counts are being sent, and returns them. */
struct limit_report limit_follower_report(struct limit_follower *f,
					  const struct shared_limit *l,
					  int64_t now_ms);

/** Notes that the aggregator answers again, or another one does: what was taken
 * up to the last update was taken alone and is not part of its sums. */
void limit_follower_rejoin(struct limit_follower *f);

/** Handles the answer to a report; one that is older than the last is ignored.
 */
void limit_follower_handle_answer(struct limit_follower *f,
				  const struct limit_report *report,
				  const struct limit_answer *a);

#endif
