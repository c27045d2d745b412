#include <primroselead/steer.h>

/* A destination this much slower than the origin holds the shift, since its
 * caches are still cold; in percent. */
#define COLD_LATENCY_PERCENT 200

/* A destination loaded above this share takes no further step, in percent. */
#define FULL_PERCENT 85

static int clamp(int share, int cap)
{
	if (share < 0)
		return 0;
	return share < cap ? share : cap;
}

int steer_shift_share(const struct steer_shift *shift,
		      const struct steer_shift_progress *progress)
{
	if (shift->from == STEER_NONE || progress->plan_id != shift->plan_id)
		return 0;
	return clamp(progress->share_permille, shift->cap_permille);
}

static int target(const struct steer_shift_input *s, int share)
{
	switch (s->shift.direction) {
	case STEER_FORWARD:
		return clamp(share + s->shift.step_permille,
			     s->shift.cap_permille);
	case STEER_PAUSE:
		return share;
	case STEER_BACK:
		return clamp(share - s->shift.step_permille,
			     s->shift.cap_permille);
	}
	return share;
}

static int held_back(const struct steer_shift_input *s)
{
	return s->latency_ratio_percent > COLD_LATENCY_PERCENT ||
	       s->load_percent > FULL_PERCENT;
}

int steer_shift_next_step(const struct steer_shift_input *s,
			  struct steer_shift_progress *next)
{
	int share = steer_shift_share(&s->shift, &s->progress);
	int foreign = s->progress.plan_id != s->shift.plan_id;

	if (s->shift.from == STEER_NONE)
		return 0;
	next->plan_id = s->shift.plan_id;
	next->share_permille = target(s, share);
	/* A lowered cap and a new plan are written down without a wait. */
	if (!foreign && share < s->progress.share_permille) {
		next->share_permille = share;
		return 1;
	}
	if (s->now_ms < s->progress_seen_ms + s->shift.step_interval_ms)
		return 0;
	if (next->share_permille > share && held_back(s))
		return 0;
	return foreign || next->share_permille != share;
}
