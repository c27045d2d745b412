#include <primroselead/clock.h>
#include <primroselead/order.h>
#include <string.h>
#include <sys/param.h>

/* Starts of more urgent classes after which a class gets one. */
#define PASSED_OVER_MAX 9

/* A request waits for at most this part of the time that it has left, so that a
 * caller who is refused then can still come back. */
#define WAIT_DIVISOR 4

/* Priorities up to this one are urgent. */
#define URGENT_PRIORITY_MAX 1

/* Weight of a new sample in the average of the starts is 1 / this. */
#define SMOOTHING_DIVISOR 8

/* Longest time between two starts that counts as a pace, in ms. */
#define INTERVAL_MAX_MS 1000

/* Time for which retries are scarce after an urgent request found none, in ms,
 * and the retries that others ask for then to be granted one. */
#define SCARCE_MS 1000
#define WITHHELD_MAX 8

#define US_PER_MS 1000

#define NONE (-1)

static int is_timely(const struct order_entry *e, int64_t now)
{
	return now + e->work_ms <= e->objective_ms;
}

int order_class(const struct order_entry *e, int64_t now_ms)
{
	int priority = MIN(MAX(e->priority, 0), ORDER_PRIORITIES - 1);

	return is_timely(e, now_ms) ? priority : ORDER_PRIORITIES + priority;
}

static int64_t latest_start_ms(const struct order_entry *e, int64_t now)
{
	return (is_timely(e, now) ? e->objective_ms : e->deadline_ms) -
	       e->work_ms;
}

static int64_t end_of_wait_ms(const struct order_entry *e, int64_t now)
{
	return MIN(now + (e->deadline_ms - now) / WAIT_DIVISOR,
		   e->deadline_ms - e->work_ms);
}

int order_is_useful(const struct order_entry *e, int64_t delay_ms,
		    int64_t now_ms)
{
	return delay_ms != PRL_NEVER &&
	       now_ms + delay_ms < end_of_wait_ms(e, now_ms);
}

/* Returns a negative number if a is less than b, 0 if they are equal. */
static int compare(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

/* Virtual time at which the entry's workspace is served next. */
static int64_t turn_ms(const struct order_queue *q, const struct order_entry *e)
{
	return MAX(q->workspace_ms[e->workspace % ORDER_WORKSPACES],
		   q->position_ms);
}

/* Returns a negative number if a goes before b. */
static int compare_entries(const struct order_queue *q,
			   const struct order_entry *a,
			   const struct order_entry *b, int64_t now)
{
	int d = compare(order_class(a, now), order_class(b, now));

	if (!d)
		d = compare(turn_ms(q, a), turn_ms(q, b));
	if (!d)
		d = compare(latest_start_ms(a, now), latest_start_ms(b, now));
	if (!d)
		d = compare(a->work_ms, b->work_ms);
	return d ? d : compare(a->since_ms, b->since_ms);
}

static int find(const struct order_queue *q, uint64_t handle)
{
	for (int i = 0; i < q->n; i++)
		if (q->entry[i].handle == handle)
			return i;
	return NONE;
}

static int find_least_urgent(const struct order_queue *q, int64_t now)
{
	int worst = 0;

	for (int i = 1; i < q->n; i++)
		if (compare_entries(q, &q->entry[i], &q->entry[worst], now) > 0)
			worst = i;
	return worst;
}

enum order_result order_add(struct order_queue *q, const struct order_entry *e,
			    int64_t now_ms, struct order_entry *replaced)
{
	struct order_entry added = *e;
	enum order_result result = ORDER_ADDED;
	int worst;

	if (end_of_wait_ms(e, now_ms) <= now_ms)
		return ORDER_REFUSED;
	added.since_ms = now_ms;
	added.until_ms = end_of_wait_ms(e, now_ms);
	added.seen = 0;
	if (q->n == ORDER_WAITING_MAX) {
		worst = find_least_urgent(q, now_ms);
		if (compare_entries(q, &added, &q->entry[worst], now_ms) >= 0)
			return ORDER_REFUSED;
		*replaced = q->entry[worst];
		order_remove(q, replaced->handle);
		result = ORDER_REPLACED;
	}
	q->entry[q->n++] = added;
	return result;
}

int order_remove(struct order_queue *q, uint64_t handle)
{
	int i = find(q, handle);

	if (i == NONE)
		return 0;
	q->entry[i] = q->entry[--q->n];
	return 1;
}

static void count_start(struct order_queue *q, int started, int64_t now)
{
	int waiting[ORDER_CLASSES] = {0};

	for (int i = 0; i < q->n; i++)
		waiting[order_class(&q->entry[i], now)] = 1;
	for (int c = 0; c < ORDER_CLASSES; c++)
		if (c == started || !waiting[c])
			q->passed_over[c] = 0;
		else if (c > started)
			q->passed_over[c]++;
}

static void measure_interval(struct order_queue *q, int64_t now)
{
	int64_t ms = MIN(now - q->started_ms, INTERVAL_MAX_MS);
	int64_t sample = ms * US_PER_MS;

	q->started_ms = now;
	q->start_interval_us +=
		(sample - q->start_interval_us) / SMOOTHING_DIVISOR;
}

static void count_work(struct order_queue *q, const struct order_entry *e)
{
	q->position_ms = turn_ms(q, e);
	q->workspace_ms[e->workspace % ORDER_WORKSPACES] =
		q->position_ms + e->work_ms;
}

void order_start(struct order_queue *q, uint64_t handle, int64_t now_ms)
{
	int i = find(q, handle);
	int class;

	if (i == NONE)
		return;
	class = order_class(&q->entry[i], now_ms);
	count_work(q, &q->entry[i]);
	order_remove(q, handle);
	count_start(q, class, now_ms);
	measure_interval(q, now_ms);
}

void order_begin(struct order_queue *q)
{
	for (int i = 0; i < q->n; i++)
		q->entry[i].seen = 0;
}

/* Whether the class has been passed over so often that its turn has come. */
static int is_due(const struct order_queue *q, const struct order_entry *e,
		  int64_t now)
{
	return q->passed_over[order_class(e, now)] >= PASSED_OVER_MAX;
}

static int goes_before(const struct order_queue *q, const struct order_entry *a,
		       const struct order_entry *b, int64_t now)
{
	int d = is_due(q, b, now) - is_due(q, a, now);

	return d ? d < 0 : compare_entries(q, a, b, now) < 0;
}

const struct order_entry *order_next(struct order_queue *q, int64_t now_ms)
{
	struct order_entry *first = NULL;

	for (int i = 0; i < q->n; i++) {
		struct order_entry *e = &q->entry[i];

		if (!e->seen && (!first || goes_before(q, e, first, now_ms)))
			first = e;
	}
	if (first)
		first->seen = 1;
	return first;
}

const struct order_entry *order_overdue(const struct order_queue *q,
					int64_t now_ms)
{
	const struct order_entry *last = NULL;

	for (int i = 0; i < q->n; i++) {
		const struct order_entry *e = &q->entry[i];

		if (now_ms >= e->until_ms &&
		    (!last || compare_entries(q, e, last, now_ms) > 0))
			last = e;
	}
	return last;
}

int order_is_preceded(const struct order_queue *q, const struct order_entry *e,
		      int64_t now_ms)
{
	for (int i = 0; i < q->n; i++)
		if (q->entry[i].service == e->service &&
		    order_class(&q->entry[i], now_ms) < order_class(e, now_ms))
			return 1;
	return 0;
}

int64_t order_drain_ms(const struct order_queue *q)
{
	return q->n * q->start_interval_us / US_PER_MS;
}

static int is_urgent(const struct order_entry *e, int64_t now)
{
	return e->priority <= URGENT_PRIORITY_MAX && is_timely(e, now);
}

int order_may_retry(struct order_retries *s, const struct order_entry *e,
		    int64_t now_ms)
{
	if (is_urgent(e, now_ms) || !s->denied_ms ||
	    now_ms - s->denied_ms >= SCARCE_MS)
		return 1;
	if (++s->withheld < WITHHELD_MAX)
		return 0;
	s->withheld = 0;
	return 1;
}

void order_retry_denied(struct order_retries *s, const struct order_entry *e,
			int64_t now_ms)
{
	if (is_urgent(e, now_ms))
		s->denied_ms = now_ms;
}
