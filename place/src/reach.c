#include <primroselead/backoff.h>
#include <primroselead/reach.h>

/* Average interval between two probes while no upstream answers, in ms. */
#define PROBE_INTERVAL_MS 500

/* Time in ms after which a new isolation is announced to the other VMs: probes
 * end it before if only some connections broke. */
#define ANNOUNCE_DELAY_MS 300

/* Probes in a row that must be answered, by different upstreams if there are as
 * many, before the upstreams count as reached again. */
#define PROBES_ANSWERED_MIN 2

/* Unanswered probes in a row after which a suspected service counts as
 * isolated. */
#define PROBES_UNANSWERED_MIN 2

static void enter(struct place_reach *s, enum place_reach_state to,
		  int64_t now_ms)
{
	s->state = to;
	s->since_ms = now_ms;
	s->next_probe_ms = now_ms;
	s->answered = 0;
	s->unanswered = 0;
}

void place_reach_suspect(struct place_reach *s, int64_t now_ms)
{
	if (s->state == PLACE_REACHED)
		enter(s, PLACE_SUSPECTED, now_ms);
}

void place_reach_isolate(struct place_reach *s, int64_t now_ms)
{
	if (s->state != PLACE_ISOLATED)
		enter(s, PLACE_ISOLATED, now_ms);
}

int place_reach_probe_due(struct place_reach *s, uint64_t random,
			  int64_t now_ms)
{
	if (s->state == PLACE_REACHED || now_ms < s->next_probe_ms)
		return 0;
	s->next_probe_ms = now_ms + prl_jitter(PROBE_INTERVAL_MS, random);
	return 1;
}

static void probe_answered(struct place_reach *s, uint64_t upstream,
			   int nupstream, int64_t now_ms)
{
	s->unanswered = 0;
	if (!s->answered || upstream != s->last_answered || nupstream < 2)
		s->answered++;
	s->last_answered = upstream;
	s->next_probe_ms = now_ms;
	if (s->state == PLACE_SUSPECTED || s->answered >= PROBES_ANSWERED_MIN)
		enter(s, PLACE_REACHED, now_ms);
}

void place_reach_probe_ended(struct place_reach *s,
			     const struct place_probe *probe, int64_t now_ms)
{
	if (s->state == PLACE_REACHED)
		return;
	if (probe->answered) {
		probe_answered(s, probe->upstream, probe->nupstream, now_ms);
		return;
	}
	s->answered = 0;
	if (++s->unanswered >= PROBES_UNANSWERED_MIN)
		place_reach_isolate(s, now_ms);
}

int place_reach_is_announced(const struct place_reach *s, int64_t now_ms)
{
	return s->state == PLACE_ISOLATED &&
	       now_ms >= s->since_ms + ANNOUNCE_DELAY_MS;
}
