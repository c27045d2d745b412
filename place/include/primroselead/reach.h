#ifndef PRIMROSELEAD_REACH_H
#define PRIMROSELEAD_REACH_H

#include <stdint.h>

/*
 * Whether a VM reaches the upstreams of a service, by its attempts and probes.
 */

/**
 * Whether the attempts of one thread reach any upstream of a service. An
 * attempt is unanswered if it found no connection, or if its connection broke
 * before a byte of the response. All zero is the initial state.
 */
struct place_isolation {
	/** Unanswered attempts in a row. */
	int failures;
	/** Id of the upstream of the first of them, and whether another
	 * upstream is among them. */
	uint64_t first_failed;
	int several_failed;
	/** Times of the last unanswered attempt and of the last answer. */
	int64_t failed_ms;
	int64_t answered_ms;
	/** Moving average of the share of unanswered attempts, in permille. */
	int unanswered_permille;
	/** Set by the caller of this package, which relays requests until
	 * then. */
	int64_t isolated_until_ms;
};

/** Records that an upstream answered. */
void place_isolation_answered(struct place_isolation *s, int64_t now_ms);

/**
 * Records an unanswered attempt at an upstream of a service that has
 * "nupstream" of them. Returns 1 if no upstream seems to be reached: several
 * attempts in a row were unanswered, at more than one upstream if there is more
 * than one, and none was answered for a while. Else returns 0.
 */
int place_isolation_unanswered(struct place_isolation *s, uint64_t upstream,
			       int nupstream, int64_t now_ms);

/** Whether so many of the recent attempts were unanswered that a request whose
 * attempt found no connection should not try another upstream. */
int place_isolation_is_impaired(const struct place_isolation *s,
				int64_t now_ms);

/** Whether a VM reaches the upstreams of a service. */
enum place_reach_state {
	PLACE_REACHED,
	/** Another service is isolated; this one is probed. */
	PLACE_SUSPECTED,
	/** No upstream answers. */
	PLACE_ISOLATED,
};

/** Reach of one service by a VM's own attempts and probes. All zero is the
 * initial state, PLACE_REACHED. */
struct place_reach {
	enum place_reach_state state;
	/** When the state began. */
	int64_t since_ms;
	int64_t next_probe_ms;
	/** Probes in a row that were answered, and the upstream of the last
	 * one; probes in a row that were not. */
	int answered;
	uint64_t last_answered;
	int unanswered;
};

/** Begins to probe a service that the VM may not reach. */
void place_reach_suspect(struct place_reach *s, int64_t now_ms);

/** Marks a service as isolated, on the evidence of attempts. */
void place_reach_isolate(struct place_reach *s, int64_t now_ms);

/** Returns 1 if probes are due now, and schedules the next ones; else 0. */
int place_reach_probe_due(struct place_reach *s, uint64_t random,
			  int64_t now_ms);

/** A probe of an upstream that has ended. */
struct place_probe {
	uint64_t upstream;
	/** The upstream responded, healthy or not. */
	int answered;
	/** Upstreams of the service. */
	int nupstream;
};

/** Updates the state after a probe. */
void place_reach_probe_ended(struct place_reach *s,
			     const struct place_probe *probe, int64_t now_ms);

/** Whether the isolation is to be announced to the other VMs. */
int place_reach_is_announced(const struct place_reach *s, int64_t now_ms);

#endif
