#include <primroselead/steer.h>

/* Latency in the destination relative to the origin, in percent, above which no
 * traffic is added: the destination's caches are still cold. */
#define LATENCY_RATIO_MAX_PERCENT 200

/* Load of the destination, in percent, above which no traffic is added. */
#define LOAD_MAX_PERCENT 85

static int clamp_share(int share, int cap)
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
	return clamp_share(progress->share_permille, shift->cap_permille);
}

static int target_share(const struct steer_shift_input *s, int share)
{
	switch (s->shift.direction) {
	case STEER_FORWARD:
		return clamp_share(share + s->shift.step_permille,
				   s->shift.cap_permille);
	case STEER_PAUSE:
		return share;
	case STEER_BACK:
		return clamp_share(share - s->shift.step_permille,
				   s->shift.cap_permille);
	}
	return share;
}

static int destination_saturated(const struct steer_shift_input *s)
{
	return s->latency_ratio_percent > LATENCY_RATIO_MAX_PERCENT ||
	       s->load_percent > LOAD_MAX_PERCENT;
}

int steer_shift_next_step(const struct steer_shift_input *s,
			  struct steer_shift_progress *next)
{
	int share = steer_shift_share(&s->shift, &s->progress);
	int other_plan = s->progress.plan_id != s->shift.plan_id;

	if (s->shift.from == STEER_NONE)
		return 0;
	next->plan_id = s->shift.plan_id;
	next->share_permille = target_share(s, share);
	/* A share above a lowered cap is cut without waiting. */
	if (!other_plan && share < s->progress.share_permille) {
		next->share_permille = share;
		return 1;
	}
	if (s->now_ms < s->progress_seen_ms + s->shift.step_interval_ms)
		return 0;
	if (next->share_permille > share && destination_saturated(s))
		return 0;
	return other_plan || next->share_permille != share;
}
