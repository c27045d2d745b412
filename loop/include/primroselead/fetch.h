#ifndef PRIMROSELEAD_FETCH_H
#define PRIMROSELEAD_FETCH_H

#include <curl/curl.h>
#include <primroselead/loop.h>

/** The HTTP transfers of one event loop, run by libcurl's multi interface. */
struct fetch_pool {
	CURLM *multi;
	struct loop *loop;
	struct loop_timer timer;
	/** Transfers that failed as they were continued; "done" is still to be
	 * called. */
	struct fetch *failed;
};

/** An HTTP transfer; the caller owns it and its easy handle. */
struct fetch {
	CURL *easy;
	/** Called once, after the transfer has ended and was removed from the
	 * pool. */
	void (*done)(struct fetch *f, CURLcode result);
	void *ctx;
	/** Why continuing the transfer failed; CURLE_OK if it did not. */
	CURLcode unpause_result;
	struct fetch *next_failed;
};

/** Initializes an empty pool. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code fetch_pool_init(struct fetch_pool *p, struct loop *l,
			      struct prl_error *err);

/** Releases a pool; every transfer must have ended or been cancelled. */
void fetch_pool_finish(struct fetch_pool *p);

/**
 * Makes a transfer fail within seconds if its peer is dead or unreachable: the
 * connection is closed when sent data stays unacknowledged, or TCP keep-alive
 * probes stay unanswered, for longer than *timeout_ms. The handle keeps the
 * pointer and reads the number for each new connection.
 */
void fetch_set_peer_timeout(CURL *easy, const int *timeout_ms);

/** Starts a transfer whose easy handle is set up. Returns PRL_OK or PRL_E_IO;
 * after an error "done" is not called. */
enum prl_code fetch_start(struct fetch_pool *p, struct fetch *f,
			  struct prl_error *err);

/** Aborts a transfer; "done" is not called. */
void fetch_cancel(struct fetch_pool *p, struct fetch *f);

/** Continues a transfer that its libcurl callbacks have paused, in the next
 * round of the loop. A callback for received bytes may be called at once; if it
 * rejects them, the transfer ends in that round. */
void fetch_unpause(struct fetch_pool *p, struct fetch *f);

#endif
