#include <primroselead/reach.h>

/* Attempts without an answer after which the upstreams of a service count as
 * out of reach. */
#define ISOLATED_FAILURES 3

/* Time in ms since the last answer before which the service does not count as
 * out of reach: upstreams that crash together fail several attempts at once. */
#define ISOLATED_SILENCE_MS 500

/* Share of attempts without an answer, in permille, from which the next attempt
 * of a request goes through another VM. */
#define IMPAIRED_PERMILLE 250

/* Age of the last failure, in ms, after which the share no longer counts. */
#define IMPAIRED_MAX_MS 4000

/* Weight of a new sample in the share is 1 / SMOOTHING_DIVISOR. */
#define SMOOTHING_DIVISOR 8

#define THOUSAND 1000

static void add_sample(struct place_isolation *s, int sample_permille)
{
	s->unanswered_permille +=
		(sample_permille - s->unanswered_permille) / SMOOTHING_DIVISOR;
}

void place_isolation_answered(struct place_isolation *s, int64_t now_ms)
{
	add_sample(s, 0);
	s->failures = 0;
	s->answered_ms = now_ms;
}

int place_isolation_unanswered(struct place_isolation *s, uint64_t upstream,
			       int nupstream, int64_t now_ms)
{
	if (now_ms - s->failed_ms >= IMPAIRED_MAX_MS)
		s->unanswered_permille = 0;
	add_sample(s, THOUSAND);
	s->failed_ms = now_ms;
	if (!s->failures) {
		s->first_failed = upstream;
		s->several_failed = 0;
	}
	s->several_failed |= upstream != s->first_failed;
	s->failures++;
	if (s->failures < ISOLATED_FAILURES ||
	    now_ms - s->answered_ms < ISOLATED_SILENCE_MS ||
	    (nupstream > 1 && !s->several_failed))
		return 0;
	/* Counting starts again, so that what persists is reported again. */
	s->failures = 0;
	return 1;
}

int place_isolation_is_impaired(const struct place_isolation *s, int64_t now_ms)
{
	return s->unanswered_permille >= IMPAIRED_PERMILLE &&
	       now_ms - s->failed_ms < IMPAIRED_MAX_MS;
}
