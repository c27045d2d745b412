/* Whether a replica is fresh by the beats of the VMs that read the store. */
#include <primroselead/spread.h>

/* Age of a confirmation in ms above which a beat says nothing: a reader has a
 * newer one unless the store is silent. */
#define CONFIRMED_MAX_MS 1800

/* Time without a beat in ms after which a standby, and a learner, reads the
 * store itself; a random part is added for learners. */
#define STANDBY_SILENCE_MS 500
#define LEARNER_SILENCE_MS 900
#define LEARNER_SPREAD_MS 300

/* Time in ms for which replicas may differ before changes are pulled: they are
 * being pushed. */
#define DIFFERS_MAX_MS 200

/* Interval between two pulls in ms. */
#define PULL_INTERVAL_MS 250

/* Time in ms in which a VM that stood still has read what it received
 * meanwhile. */
#define BACKLOG_MAX_MS 200

void spread_forget_beats(struct spread_beats *b, int64_t now_ms)
{
	*b = (struct spread_beats){.distrusted_until_ms =
					   now_ms + BACKLOG_MAX_MS};
}

int spread_may_send_beat(int64_t confirmed_ms, int64_t now_ms)
{
	return confirmed_ms && now_ms - confirmed_ms <= CONFIRMED_MAX_MS;
}

static int64_t silence_max_ms(enum spread_role role, uint64_t random)
{
	if (role == SPREAD_LEARNER)
		return LEARNER_SILENCE_MS +
		       (int64_t)(random % LEARNER_SPREAD_MS);
	return STANDBY_SILENCE_MS;
}

enum spread_beat_action spread_handle_beat(struct spread_beats *b,
					   const struct spread_replica *r,
					   const struct spread_beat *beat,
					   enum spread_role role,
					   uint64_t random, int64_t now_ms)
{
	if (now_ms < b->distrusted_until_ms ||
	    !spread_may_send_beat(beat->confirmed_ms, now_ms))
		return SPREAD_BEAT_NONE;
	b->recent_until_ms = now_ms + silence_max_ms(role, random);
	if (beat->live_digest == r->live_digest) {
		b->differs_since_ms = 0;
		return SPREAD_BEAT_CONFIRMS;
	}
	if (!b->differs_since_ms)
		b->differs_since_ms = now_ms;
	if (now_ms - b->differs_since_ms < DIFFERS_MAX_MS ||
	    now_ms < b->next_pull_ms)
		return SPREAD_BEAT_NONE;
	b->next_pull_ms = now_ms + PULL_INTERVAL_MS;
	return SPREAD_BEAT_PULL;
}

int spread_must_read(const struct spread_beats *b, enum spread_role role,
		     int64_t confirmed_ms, int64_t now_ms)
{
	return role == SPREAD_READER || now_ms >= b->recent_until_ms ||
	       !spread_may_send_beat(confirmed_ms, now_ms);
}
