#include "credit.h"
#include <primroselead/shared_limit.h>
#include <primroselead/usage_total.h>

#define MILLI 1000
#define MS_PER_S 1000

/* Times in ms in which a surplus of credit is used up. A quota's burst may come
 * at one VM within moments; retries go on for longer. */
#define QUOTA_PACE_MS 1000
#define RETRY_PACE_MS 2000

/* The same of a VM's own part, which nobody else takes from. */
#define ALONE_PACE_MS 1000

/* Part of its own part with which a VM starts, in percent: an earlier start of
 * it may have used it. */
#define START_PERCENT 20

/* Credit that may be taken ahead of its growth, as a time in ms. */
#define AHEAD_MS 50

/* Time in ms over which the rate at which this VM asks is averaged. */
#define DEMAND_AVERAGE_MS 1000

/* Time in ms for which an answer about a limit is extrapolated. */
#define ANSWER_MAX_AGE_MS 3000

/* Time in ms after which a question about a limit is taken to be lost, and with
 * it what is known of the limit. */
#define ANSWER_TIMEOUT_MS 400

/* Interval in ms between reports of a limit with little credit, and the longest
 * interval while its counts change. */
#define REPORT_MIN_MS 100
#define REPORT_MAX_MS 2000

/* Time in ms in which counts are collected for a first report, and the interval
 * for a limit whose demand rises everywhere. */
#define REPORT_FIRST_MS 150
#define REPORT_USUAL_MS 500

/* Tokens that a VM may take by chance beyond the expected. */
#define SURPRISE_TOKENS 3

/* Parts of the overage and of the slack of a quota's rule that are added to its
 * burst, in percent. */
#define OVERAGE_PERCENT 5
#define SLACK_PERCENT 12
#define PERCENT 100

/* Parts of a retry budget's ratio and constant that are used, in percent. */
#define RETRY_RATIO_PERCENT 95
#define RETRY_BURST_PERCENT 35

/* Least burst of a retry budget, without which no credit could be saved. */
#define RETRY_BURST_MIN_MILLI 4000

/* Longest time in ms that a refused caller is told to wait. */
#define WAIT_MAX_MS 5000

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* A VM's equal part of a limit. */
static struct limit_terms own_part(const struct limit_terms *terms, int vms)
{
	return (struct limit_terms){
		.rate_milli = terms->rate_milli / max64(vms, 1),
		.deposit_permille = terms->deposit_permille,
		.burst_milli = terms->burst_milli / max64(vms, 1),
		.pace_ms = ALONE_PACE_MS,
	};
}

void shared_limit_prepare(struct shared_limit *l,
			  const struct limit_terms *terms, int vms)
{
	struct limit_terms part = own_part(terms, vms);

	if (atomic_load(&l->burst_milli))
		return;
	atomic_store(&l->pace_ms, part.pace_ms);
	atomic_store(&l->deposit_permille, part.deposit_permille);
	atomic_store(&l->growth_milli, part.rate_milli);
	atomic_store(&l->credit_milli,
		     part.burst_milli * START_PERCENT / PERCENT);
	atomic_store(&l->burst_milli, max64(part.burst_milli, 1));
}

void shared_limit_deposit(struct shared_limit *l)
{
	atomic_fetch_add(&l->deposits, 1);
}

int64_t shared_limit_credit(const struct shared_limit *l)
{
	int64_t deposits =
		atomic_load(&l->deposits) - atomic_load(&l->deposits_base);
	int64_t taken = atomic_load(&l->taken) - atomic_load(&l->taken_base);
	int64_t grown = atomic_load(&l->credit_milli) +
			deposits * atomic_load(&l->deposit_permille) -
			taken * MILLI;

	return min64(grown, atomic_load(&l->burst_milli));
}

/* Rate at which tokens may be taken by all VMs, so that a surplus of credit is
 * used up and a lack of it made good in time. */
static int64_t pace_milli(const struct shared_limit *l)
{
	int64_t credit = shared_limit_credit(l);
	int64_t growth = atomic_load(&l->growth_milli);

	if (credit <= -growth * AHEAD_MS / MS_PER_S)
		return 0;
	return growth + credit * MS_PER_S / max64(atomic_load(&l->pace_ms), 1);
}

static int64_t demand_milli(const struct shared_limit *l, int64_t asked)
{
	int64_t recent = asked - atomic_load(&l->asked_base);

	return atomic_load(&l->others_milli) + atomic_load(&l->own_milli) +
	       recent * MILLI * MS_PER_S / DEMAND_AVERAGE_MS;
}

/* Gives each request an equal part of the tokens. Whether this one completes a
 * whole token is independent of the number of VMs, so that small limits are
 * used up. */
static int take_paced(struct shared_limit *l, int64_t pace, int64_t demand)
{
	int64_t part = pace * MILLI / demand;
	int64_t before = atomic_fetch_add(&l->paced_permille, part);

	return (before + part) / MILLI > before / MILLI;
}

int shared_limit_take(struct shared_limit *l)
{
	int64_t asked = atomic_fetch_add(&l->asked, 1) + 1;
	int64_t pace = pace_milli(l);
	int64_t demand = demand_milli(l, asked);

	if (pace <= 0 || (pace < demand && !take_paced(l, pace, demand))) {
		atomic_fetch_add(&l->refused, 1);
		return 0;
	}
	atomic_fetch_add(&l->taken, 1);
	return 1;
}

void shared_limit_give_back(struct shared_limit *l)
{
	atomic_fetch_sub(&l->taken, 1);
}

int64_t shared_limit_wait_ms(const struct shared_limit *l)
{
	int64_t growth = atomic_load(&l->growth_milli);
	int64_t lack = MILLI - shared_limit_credit(l);

	if (growth <= 0)
		return WAIT_MAX_MS;
	return min64(max64(lack, 0) * MS_PER_S / growth, WAIT_MAX_MS);
}

struct limit_usage shared_limit_usage(const struct shared_limit *l)
{
	return (struct limit_usage){
		.taken = atomic_load(&l->taken),
		.asked = atomic_load(&l->asked),
		.deposits = atomic_load(&l->deposits),
	};
}

struct limit_terms shared_limit_quota_terms(int64_t rate_milli,
					    int64_t burst_milli,
					    const struct limit_window *w)
{
	int64_t allowed = rate_milli * w->window_ms / MS_PER_S + burst_milli;
	int64_t overage = allowed * w->overage_permille / MILLI;
	int64_t slack = w->slack * MILLI;

	return (struct limit_terms){
		.rate_milli = rate_milli,
		.burst_milli = burst_milli +
			       overage * OVERAGE_PERCENT / PERCENT +
			       slack * SLACK_PERCENT / PERCENT,
		.pace_ms = QUOTA_PACE_MS,
	};
}

struct limit_terms shared_limit_retry_terms(int64_t permille, int64_t extra)
{
	return (struct limit_terms){
		.deposit_permille = permille * RETRY_RATIO_PERCENT / PERCENT,
		.burst_milli =
			max64(extra * MILLI * RETRY_BURST_PERCENT / PERCENT,
			      RETRY_BURST_MIN_MILLI),
		.pace_ms = RETRY_PACE_MS,
		.rises_everywhere = 1,
	};
}

void limit_follower_set_terms(struct limit_follower *f,
			      const struct limit_terms *terms)
{
	f->terms = *terms;
}

/* Returns an average rate with the events of the last elapsed_ms added. */
static int64_t average_rate(int64_t rate_milli, int64_t events,
			    int64_t elapsed_ms)
{
	return (rate_milli * DEMAND_AVERAGE_MS + events * MILLI * MS_PER_S) /
	       (DEMAND_AVERAGE_MS + elapsed_ms);
}

static void update_own_rates(struct limit_follower *f,
			     const struct limit_usage *usage,
			     int64_t elapsed_ms)
{
	f->own_milli = average_rate(f->own_milli, usage->asked - f->usage.asked,
				    elapsed_ms);
	f->own_deposits_milli =
		average_rate(f->own_deposits_milli,
			     usage->deposits - f->usage.deposits, elapsed_ms);
}

static void advance_alone(struct limit_follower *f,
			  const struct limit_usage *usage, int vms,
			  int64_t elapsed_ms)
{
	struct limit_terms part = own_part(&f->terms, vms);

	f->alone_milli +=
		credit_grown(part.rate_milli, elapsed_ms, &f->alone_rest) +
		(usage->deposits - f->usage.deposits) * part.deposit_permille -
		(usage->taken - f->usage.taken) * MILLI;
	f->alone_milli = min64(f->alone_milli, part.burst_milli);
}

static void publish(struct shared_limit *l, const struct limit_terms *terms,
		    int64_t credit_milli, const struct limit_usage *base)
{
	/* While both are being replaced, a traffic thread sees too little
	 * credit rather than too much. */
	atomic_store(&l->burst_milli, terms->burst_milli);
	atomic_store(&l->deposit_permille, terms->deposit_permille);
	atomic_store(&l->credit_milli, credit_milli);
	atomic_store(&l->taken_base, base->taken);
	atomic_store(&l->deposits_base, base->deposits);
	atomic_store(&l->growth_milli, terms->rate_milli);
	atomic_store(&l->pace_ms, terms->pace_ms);
}

static void publish_alone(struct limit_follower *f, struct shared_limit *l,
			  const struct limit_usage *usage, int vms)
{
	struct limit_terms part = own_part(&f->terms, vms);

	part.rate_milli +=
		f->own_deposits_milli * part.deposit_permille / MILLI;
	publish(l, &part, f->alone_milli, usage);
	atomic_store(&l->others_milli, 0);
}

/* Whether there is an answer about this limit that is not too old. */
static int has_answer(const struct limit_follower *f, int64_t max_age_ms,
		      int64_t now_ms)
{
	return f->answered_ms && now_ms - f->answered_ms <= max_age_ms;
}

static void publish_answer(struct limit_follower *f, struct shared_limit *l,
			   int64_t now_ms)
{
	int64_t others =
		max64(f->answer.demand_milli - f->own_reported_milli, 0);
	int64_t total = others + f->own_milli;
	int64_t grown =
		f->answer.growth_milli * (now_ms - f->answered_ms) / MS_PER_S;
	struct limit_terms terms = f->terms;

	terms.rate_milli = f->answer.growth_milli;
	/* Of the growth since, others take their part. */
	grown = total > 0 ? grown * f->own_milli / total : 0;
	publish(l, &terms, f->answer.credit_milli + grown, &f->reported);
	atomic_store(&l->others_milli, others);
}

/* A limit that was not asked about, and that the aggregator does not count as
 * low, has all its credit. */
static void publish_full(struct limit_follower *f, struct shared_limit *l,
			 const struct limit_usage *usage, int heard_permille)
{
	int64_t since = (usage->taken - f->reported.taken) * MILLI;
	struct limit_terms terms = f->terms;

	terms.rate_milli = terms.rate_milli * heard_permille / MILLI;
	terms.burst_milli = terms.burst_milli * heard_permille / MILLI;
	publish(l, &terms, terms.burst_milli - since, usage);
	atomic_store(&l->others_milli, 0);
}

static enum limit_mode choose_mode(const struct limit_follower *f,
				   const struct limit_fleet *fleet)
{
	if (!fleet->answered_ms ||
	    fleet->now_ms - fleet->answered_ms > USAGE_RELIED_MS)
		return LIMIT_ALONE;
	if (f->waiting_since_ms &&
	    fleet->now_ms - f->waiting_since_ms > ANSWER_TIMEOUT_MS)
		return LIMIT_ALONE;
	if ((fleet->is_low || f->terms.rises_everywhere) &&
	    !has_answer(f, USAGE_RELIED_MS, fleet->now_ms))
		return LIMIT_ALONE;
	return LIMIT_FOLLOWING;
}

/* Tokens taken of which the aggregator may not know. */
static int64_t unconfirmed(const struct limit_follower *f,
			   const struct shared_limit *l)
{
	return max64(atomic_load(&l->taken) - f->reported.taken, 0);
}

/* A VM that is left alone goes on with its part of the credit that it knew,
 * less what it has taken since. */
static void change_mode(struct limit_follower *f, const struct shared_limit *l,
			enum limit_mode mode, int vms)
{
	int64_t taken_milli = unconfirmed(f, l) * MILLI;

	if (mode == f->mode)
		return;
	f->mode = mode;
	if (mode == LIMIT_ALONE)
		f->alone_milli =
			(shared_limit_credit(l) + taken_milli) / max64(vms, 1) -
			taken_milli;
}

/* The index of the limit may have belonged to another one, whose counts are not
 * counted here. */
static void begin(struct limit_follower *f, struct shared_limit *l,
		  const struct limit_fleet *fleet)
{
	shared_limit_prepare(l, &f->terms, fleet->vms);
	f->updated_ms = fleet->now_ms;
	f->mode = LIMIT_ALONE;
	f->usage = shared_limit_usage(l);
	f->reported = f->usage;
	f->alone_milli = min64(shared_limit_credit(l),
			       own_part(&f->terms, fleet->vms).burst_milli);
	atomic_fetch_add(&l->paced_permille, (int64_t)(fleet->random % MILLI));
}

void limit_follower_update(struct limit_follower *f, struct shared_limit *l,
			   const struct limit_fleet *fleet)
{
	struct limit_usage usage;
	int64_t elapsed_ms;

	if (!f->updated_ms)
		begin(f, l, fleet);
	f->vms = fleet->vms;
	elapsed_ms = fleet->now_ms - f->updated_ms;
	usage = shared_limit_usage(l);
	update_own_rates(f, &usage, elapsed_ms);
	change_mode(f, l, choose_mode(f, fleet), fleet->vms);
	if (f->mode == LIMIT_ALONE) {
		advance_alone(f, &usage, fleet->vms, elapsed_ms);
		publish_alone(f, l, &usage, fleet->vms);
	} else if (has_answer(f, ANSWER_MAX_AGE_MS, fleet->now_ms)) {
		publish_answer(f, l, fleet->now_ms);
	} else {
		publish_full(f, l, &usage, fleet->heard_permille);
	}
	atomic_store(&l->own_milli, f->own_milli);
	atomic_store(&l->asked_base, usage.asked);
	f->usage = usage;
	f->updated_ms = fleet->now_ms;
}

static int has_changed(const struct limit_follower *f,
		       const struct limit_usage *usage)
{
	return usage->taken != f->reported.taken ||
	       usage->asked != f->reported.asked ||
	       usage->deposits != f->reported.deposits;
}

/* Whether all VMs might have taken a quarter of the credit, if each has taken
 * as much more than expected as this one. */
static int is_surprising(const struct limit_follower *f, int64_t taken,
			 int64_t credit, int64_t now_ms)
{
	int64_t expected = f->own_reported_milli * (now_ms - f->answered_ms) /
			   MS_PER_S / MILLI;

	if (!f->answered_ms)
		expected = 0;
	return (taken - 2 * expected - SURPRISE_TOKENS) * f->vms * MILLI * 4 >
	       credit;
}

/* Time in ms in which all VMs might use up a quarter of the credit. */
static int64_t report_interval_ms(const struct limit_follower *f,
				  const struct shared_limit *l, int64_t now_ms)
{
	int64_t credit = shared_limit_credit(l);
	int64_t demand = demand_milli(l, atomic_load(&l->asked));
	int64_t taken = atomic_load(&l->taken) - f->reported.taken;
	int64_t interval_ms;

	if (f->mode == LIMIT_ALONE ||
	    credit * 2 < atomic_load(&l->burst_milli) ||
	    is_surprising(f, taken, credit, now_ms))
		return REPORT_MIN_MS;
	if (!has_answer(f, ANSWER_MAX_AGE_MS, now_ms))
		return REPORT_FIRST_MS;
	if (f->terms.rises_everywhere)
		return REPORT_USUAL_MS;
	interval_ms = credit * MS_PER_S / 4 / max64(demand, 1);
	return min64(max64(interval_ms, REPORT_MIN_MS), REPORT_MAX_MS);
}

int limit_follower_must_report(const struct limit_follower *f,
			       const struct shared_limit *l, int64_t now_ms)
{
	struct limit_usage usage = shared_limit_usage(l);

	return has_changed(f, &usage) &&
	       now_ms - f->sent_ms >= report_interval_ms(f, l, now_ms);
}

/* Notes what a VM that is alone has taken beyond its part, and of it. */
static void note_alone(struct limit_follower *f)
{
	int64_t part = own_part(&f->terms, f->vms).burst_milli;

	f->alone_debt = max64(-f->alone_milli, 0) / MILLI;
	f->alone_spent = min64(max64(part - f->alone_milli, 0), part) / MILLI;
}

struct limit_report limit_follower_report(struct limit_follower *f,
					  const struct shared_limit *l,
					  int64_t now_ms)
{
	int alone = f->mode == LIMIT_ALONE;

	if (alone)
		note_alone(f);
	f->sent_ms = now_ms;
	if (!f->waiting_since_ms)
		f->waiting_since_ms = now_ms;
	return (struct limit_report){
		.usage = shared_limit_usage(l),
		.unconfirmed = f->alone_debt + (alone ? 0 : unconfirmed(f, l)),
		.spent = f->alone_spent,
		.own_milli = f->own_milli,
		.sent_ms = now_ms,
	};
}

void limit_follower_rejoin(struct limit_follower *f)
{
	if (f->mode == LIMIT_ALONE)
		note_alone(f);
	f->reported = f->usage;
	f->answered_ms = 0;
	/* Otherwise the limit waits for an answer that covers this. */
	if (!f->alone_debt && !f->alone_spent)
		f->waiting_since_ms = 0;
}

void limit_follower_handle_answer(struct limit_follower *f,
				  const struct limit_report *report,
				  const struct limit_answer *a)
{
	if (report->sent_ms < f->answered_ms)
		return;
	f->answer = *a;
	f->reported = report->usage;
	f->own_reported_milli = report->own_milli;
	f->answered_ms = report->sent_ms;
	f->alone_debt = 0;
	f->alone_spent = 0;
	f->waiting_since_ms = f->sent_ms > report->sent_ms ? f->sent_ms : 0;
}
