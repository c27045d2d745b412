#ifndef PRIMROSELEAD_FETCH_H
#define PRIMROSELEAD_FETCH_H

#include <curl/curl.h>
#include <primroselead/loop.h>

/** HTTP transfers of one loop, made by libcurl's multi interface. */
struct fetch_pool {
	CURLM *multi;
	struct loop *loop;
	struct loop_timer timer;
};

/** One transfer; the caller owns it and its easy handle. */
struct fetch {
	CURL *easy;
	/** Called once, when the transfer has ended and left the pool. */
	void (*done)(struct fetch *f, CURLcode result);
	void *ctx;
};

/** Makes an empty pool. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code fetch_pool_init(struct fetch_pool *p, struct loop *l,
			      struct prl_error *err);

/** Ends the pool; every transfer must have ended or been cancelled. */
void fetch_pool_finish(struct fetch_pool *p);

/**
 * Makes a transfer's connection show within seconds that its peer is dead or
 * cut off: unacknowledged bytes for longer than "silent_ms" or unanswered
 * probes end it. The number must outlive the handle's use.
 */
void fetch_watch_peer(CURL *easy, const int *silent_ms);

/** Starts a transfer whose easy handle is set up. */
enum prl_code fetch_start(struct fetch_pool *p, struct fetch *f,
			  struct prl_error *err);

/** Ends a transfer at once; done is not called. */
void fetch_cancel(struct fetch_pool *p, struct fetch *f);

/** Goes on with a transfer after its callbacks have paused it. */
void fetch_unpause(struct fetch_pool *p, struct fetch *f);

#endif
