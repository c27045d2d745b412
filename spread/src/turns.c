#include <primroselead/spread_turns.h>
#include <string.h>

static int count_periods(int nreceiver)
{
	if (nreceiver <= SPREAD_TURN_RECEIVERS_MAX)
		return 1;
	return (nreceiver + SPREAD_TURN_RECEIVERS_MAX - 1) /
	       SPREAD_TURN_RECEIVERS_MAX;
}

void spread_turns_init(struct spread_turns *t, uint64_t first)
{
	*t = (struct spread_turns){.period = first};
}

int spread_next_turn(struct spread_turns *t, int nreceiver, int64_t now_ms,
		     struct spread_turn *out)
{
	int periods = count_periods(nreceiver);
	int news = periods < SPREAD_TURN_NEWS_PERIODS
			   ? periods
			   : SPREAD_TURN_NEWS_PERIODS;

	*out = (struct spread_turn){
		.first = (int)(t->period % (uint64_t)periods),
		.step = periods,
		.since_ms = t->begun_ms[news - 1],
	};
	t->period++;
	memmove(&t->begun_ms[1], &t->begun_ms[0],
		sizeof(t->begun_ms) - sizeof(t->begun_ms[0]));
	t->begun_ms[0] = now_ms;
	return out->first < nreceiver;
}
