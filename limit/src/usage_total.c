#include "credit.h"
#include <primroselead/usage_total.h>

#define MILLI 1000
#define MS_PER_S 1000

/* Times in ms over which rates are averaged. The demand is the short average if
 * that is greater by more than chance, so that a rise is noticed at once. */
#define ASKED_AVERAGE_MS 1000
#define ASKED_SHORT_AVERAGE_MS 250
#define RISE_PERCENT 150
#define RISE_MIN_MILLI 5000
#define DEPOSITS_AVERAGE_MS 3000

/* Part of the burst with which a new aggregator starts, in percent. */
#define START_PERCENT 20
#define PERCENT 100

void usage_rate_add(struct usage_rate *r, int64_t events, int64_t average_ms,
		    int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - r->counted_ms;

	if (!r->counted_ms || elapsed_ms < 0)
		elapsed_ms = 0;
	r->recent_milli =
		r->recent_milli * average_ms / (average_ms + elapsed_ms) +
		events * MILLI;
	r->counted_ms = now_ms;
}

int64_t usage_rate_milli(const struct usage_rate *r, int64_t average_ms,
			 int64_t now_ms)
{
	struct usage_rate now = *r;

	usage_rate_add(&now, 0, average_ms, now_ms);
	return now.recent_milli * MS_PER_S / average_ms;
}

/* Part of an amount that is for the VMs that are heard. */
static int64_t heard_part(int64_t amount, const struct usage_coverage *c)
{
	if (c->heard >= c->vms)
		return amount;
	return amount * c->heard / c->vms;
}

static int64_t at_most(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

void usage_total_init(struct usage_total *t, const struct limit_terms *terms,
		      int64_t opens_ms, int64_t now_ms)
{
	int percent = now_ms < opens_ms ? START_PERCENT : PERCENT;

	*t = (struct usage_total){
		.terms = *terms,
		.credit_milli = terms->burst_milli * percent / PERCENT,
		.opening_milli = terms->burst_milli,
		.updated_ms = now_ms,
		/* Credit that grows with time needs no other beginning. */
		.opens_ms = terms->rate_milli ? 0 : opens_ms,
	};
}

static void add_credit(struct usage_total *t, int64_t credit_milli)
{
	int64_t burst = t->terms.burst_milli;

	t->credit_milli = at_most(t->credit_milli + credit_milli, burst);
	t->opening_milli = at_most(t->opening_milli + credit_milli, burst);
}

void usage_total_set_terms(struct usage_total *t,
			   const struct limit_terms *terms)
{
	t->terms = *terms;
	add_credit(t, 0);
}

/* Between the two levels the limit stays as it is. */
static void update_low(struct usage_total *t)
{
	if (t->credit_milli * 2 < t->terms.burst_milli)
		t->is_low = 1;
	else if (t->credit_milli * 4 >= t->terms.burst_milli * 3)
		t->is_low = 0;
}

void usage_total_advance(struct usage_total *t,
			 const struct usage_coverage *coverage, int64_t now_ms)
{
	int64_t rate = heard_part(t->terms.rate_milli, coverage);
	int64_t elapsed_ms = now_ms - t->updated_ms;

	if (elapsed_ms <= 0)
		return;
	t->updated_ms = now_ms;
	add_credit(t, credit_grown(rate, elapsed_ms, &t->rest));
	if (t->opens_ms && now_ms >= t->opens_ms) {
		t->credit_milli = t->opening_milli;
		t->opens_ms = 0;
	}
	t->credit_milli = at_most(t->credit_milli,
				  heard_part(t->terms.burst_milli, coverage));
	update_low(t);
}

void usage_total_add(struct usage_total *t, const struct limit_usage *since,
		     int64_t now_ms)
{
	add_credit(t, since->deposits * t->terms.deposit_permille -
			      since->taken * MILLI);
	update_low(t);
	usage_rate_add(&t->asked, since->asked, ASKED_AVERAGE_MS, now_ms);
	usage_rate_add(&t->asked_short, since->asked, ASKED_SHORT_AVERAGE_MS,
		       now_ms);
	usage_rate_add(&t->deposits, since->deposits, DEPOSITS_AVERAGE_MS,
		       now_ms);
}

static int64_t demand_milli(const struct usage_total *t, int64_t now_ms)
{
	int64_t average = usage_rate_milli(&t->asked, ASKED_AVERAGE_MS, now_ms);
	int64_t recent = usage_rate_milli(&t->asked_short,
					  ASKED_SHORT_AVERAGE_MS, now_ms);

	if (t->asked_short.recent_milli < RISE_MIN_MILLI)
		return average;
	return recent > average * RISE_PERCENT / PERCENT ? recent : average;
}

struct limit_answer usage_total_answer(const struct usage_total *t,
				       const struct usage_coverage *coverage,
				       int64_t now_ms)
{
	int64_t deposits =
		usage_rate_milli(&t->deposits, DEPOSITS_AVERAGE_MS, now_ms);

	return (struct limit_answer){
		.credit_milli = t->credit_milli,
		.growth_milli = heard_part(t->terms.rate_milli, coverage) +
				deposits * t->terms.deposit_permille / MILLI,
		.demand_milli = demand_milli(t, now_ms),
	};
}
