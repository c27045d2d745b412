#ifndef SOAK_SCHEDULE_H
#define SOAK_SCHEDULE_H

#include "soak.h"

/* The faults of a run, drawn before it begins. */

/** What a fault concerns; all are numbered from 1. */
enum soak_subject {
	SOAK_VM,
	SOAK_GROUP,
	SOAK_UPSTREAM,
	SOAK_NOBODY,
};

enum soak_kind {
	SOAK_CUT_LINKS,
	SOAK_STORE_FAULT,
	/** A store returns as it was at the beginning. */
	SOAK_STORE_RETURN,
	SOAK_TERM,
	SOAK_KILL,
	SOAK_PAUSE,
	SOAK_HANG_UP,
	SOAK_DRAIN,
	/** An upstream's entry is gone; it returns as a new start. */
	SOAK_LEAVE,
	SOAK_MANIFEST,
	SOAK_KINDS,
};

struct soak_kind_info {
	const char *name;
	enum soak_subject subject;
	/** Shortest and longest duration, in ms. */
	int least_ms;
	int most_ms;
};

extern const struct soak_kind_info soak_kinds[SOAK_KINDS];

/** Ways in which a kind may act. */
#define SOAK_VARIANTS 3

/** A fault of the schedule; times in ms since the first one may begin. */
struct soak_planned {
	enum soak_kind kind;
	int subject;
	int variant;
	int64_t begin_ms;
	int64_t end_ms;
};

/** Draws the schedule. */
void soak_plan(struct soak *s);

/** The schedule, a line each. Free it with g_free. */
char *soak_format_plan(const struct soak *s);

#endif
