#ifndef PRIMROSELEAD_SPREAD_TURNS_H
#define PRIMROSELEAD_SPREAD_TURNS_H

#include <stdint.h>

/*
 * Receivers of a periodic report, taken in turn if they are many, so that what
 * a VM sends and receives does not grow with their number. Does no I/O and
 * reads no clock.
 */

/** Most receivers in one period. */
#define SPREAD_TURN_RECEIVERS_MAX 24

/** Periods whose news a report has at most. */
#define SPREAD_TURN_NEWS_PERIODS 5

struct spread_turns {
	/** Number of the next period. */
	uint64_t period;
	/** When the last periods began, the newest first; 0 if there were none.
	 */
	int64_t begun_ms[SPREAD_TURN_NEWS_PERIODS];
};

/** The receivers of one period: each "step"th one from "first" on. */
struct spread_turn {
	int first;
	int step;
	/** What came after this time is news to them. */
	int64_t since_ms;
};

/** "first" is drawn by each sender, so that their turns differ. */
void spread_turns_init(struct spread_turns *t, uint64_t first);

/** Begins a period with a number of receivers. Returns whether one has its
 * turn. */
int spread_next_turn(struct spread_turns *t, int nreceiver, int64_t now_ms,
		     struct spread_turn *out);

#endif
