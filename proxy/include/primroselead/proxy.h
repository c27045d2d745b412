#ifndef PRIMROSELEAD_PROXY_H
#define PRIMROSELEAD_PROXY_H

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <primroselead/bandwidth.h>
#include <primroselead/budget.h>
#include <primroselead/claim.h>
#include <primroselead/config.h>
#include <primroselead/fetch.h>
#include <primroselead/mailbox.h>
#include <primroselead/metrics.h>
#include <primroselead/place.h>
#include <primroselead/ratio.h>
#include <primroselead/semaphore.h>
#include <primroselead/serve.h>

/*
 * The request path: look-ups, admission, choice of an upstream, and bodies
 * streamed both ways. Each traffic thread runs a listener and a client in one
 * loop; a request never leaves its thread. Decisions are those of the steer
 * and limit packages.
 */

/** Paths beginning so are answered by this VM itself. */
#define PROXY_LOCAL_PATH_PREFIX "/-/"

/** Most traffic threads. */
#define PROXY_THREADS_MAX 64

/** Longest idempotency key in bytes. */
#define PROXY_IDEMPOTENCY_KEY_MAX 200

/** Most requests that wait for capacity in one thread. */
#define PROXY_WAITING_MAX 1024

/** What all threads know of one upstream. */
struct proxy_upstream_stats {
	_Atomic int outstanding;
	/** Running there as last reported, or -1. */
	_Atomic int reported_running;
	_Atomic int64_t reported_ms;
	_Atomic int64_t latency_us;
	_Atomic int failure_permille;
	_Atomic int64_t first_seen_ms;
};

/** What all threads share for one service. */
struct proxy_service_stats {
	/** Holds a shift under its cap. */
	struct limit_ratio shift_limit;
	/** Plan that the credit of "shift" belongs to. */
	_Atomic uint64_t shift_plan;
	/** Holds retries under the retry budget. */
	struct limit_ratio retry_limit;
	/** Smoothed latency by region in microseconds, for pacing shifts. */
	_Atomic int64_t latency_us[STEER_REGIONS_MAX];
	/** Requests moved, and requests whose home is the shift's origin. */
	_Atomic uint64_t shifted_total;
	_Atomic uint64_t shift_source_total;
};

struct proxy;

/** A claim or note on its way to the control thread. */
struct proxy_claim {
	struct proxy_thread *thread;
	/** Request that waits, or 0 for a note. */
	uint64_t handle;
	struct claim_record record;
	int64_t deadline;
	struct claim_answer result;
};

/** What the control thread sends to a traffic thread. */
enum proxy_message_type {
	PROXY_MESSAGE_VIEW,
	PROXY_MESSAGE_CLAIM,
	PROXY_MESSAGE_BOUNDS,
	PROXY_MESSAGE_QUIESCE,
	PROXY_MESSAGE_STOP,
};

/** One message to a traffic thread. */
struct proxy_message {
	enum proxy_message_type type;
	union {
		struct steer_view *view;
		struct proxy_claim *claim;
		struct fleet_bounds bounds;
	} u;
};

struct proxy_request;
struct proxy_sockets;

/** A traffic thread; only its own thread touches it after the start. */
struct proxy_thread {
	struct proxy *proxy;
	struct loop loop;
	struct serve listener;
	/** Listeners for look-ups, readiness and metrics alone. */
	struct serve aux_listener[3];
	int naux_listener;
	struct fetch_pool fetch_pool;
	struct mailbox mailbox;
	struct metrics metrics;
	struct fleet_bounds bounds;
	struct steer_view *view;
	/** Requests by handle. */
	struct proxy_request **request;
	uint32_t *generation;
	int max_requests;
	int next_free;
	int nrequest;
	/** Requests that wait for capacity, oldest first. */
	struct proxy_request *first_waiting;
	struct proxy_request *last_waiting;
	int nwaiting;
	struct loop_timer wait_timer;
	struct loop_timer sweep_timer;
	/** Due when transfers that wait for a link may go on. */
	struct loop_timer link_timer;
	/** For routed requests, by the handles of the view. */
	struct place_upstream_stats *upstream_stats;
	/** Idle time after which an upstream closes a connection, in s; 0 if
	 * it named none. */
	int *keep_alive_s;
	struct place_service_state *service_state;
	int64_t (*split_credit)[FLEET_SPLITS_MAX];
	/** Open connections to upstreams. */
	struct proxy_sockets *sockets;
	/** Easy handles for the next transfers. */
	CURL *idle_easy[64];
	int nidle_easy;
	uint64_t random_state;
	/** Open connections, for the control thread. */
	_Atomic int connections;
	apr_thread_t *thread;
};

/** All traffic threads and what they share. */
struct proxy {
	const struct prl_settings *settings;
	/** Routes come from the platform's manifest, not from service files. */
	int follows_manifest;
	/** Region of this VM in the views. */
	int region;
	struct proxy_thread *thread;
	int nthread;
	struct proxy_upstream_stats *upstream;
	struct limit_semaphore *semaphore;
	/** Bytes over links, by the handles of their holds; a hold's size is
	 * the rate in Mbit/s. */
	struct limit_bandwidth *link_bandwidth;
	struct proxy_service_stats *service;
	/** Claims go here; received by the control thread. */
	struct mailbox *claim_mailbox;
	/** Pools that were found empty go here, as their hold's number plus
	 * one; received by the control thread. */
	struct mailbox *shortage_mailbox;
	/** Until when capacity may be used, on the clock of prl_now_ms; the
	 * control thread moves it on as long as it runs. A process that was
	 * paused finds it passed. */
	_Atomic int64_t lease_until_ms;
	/** This VM is leaving: look-ups do not name it. */
	_Atomic int leaving;
	/** It is about to end: routed requests that still come are refused. */
	_Atomic int terminating;
	/** Requests in all threads that have no final answer yet. */
	_Atomic int open_requests;
	/** Counters of the control thread. */
	struct metrics control_metrics;
	/** Somebody has asked for the status since it was last written. */
	_Atomic int status_requested;
	/** Status text, replaced by the control thread. */
	apr_thread_mutex_t *status_lock;
	char *status;
};

/** Makes the shared tables. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code proxy_init(struct proxy *p, const struct prl_settings *settings,
			 const struct fleet_bounds *bounds, int region,
			 struct mailbox *claims, struct mailbox *shortages,
			 apr_pool_t *pool, struct prl_error *err);

/** Starts the traffic threads. Returns PRL_OK, PRL_E_IO or PRL_E_MEMORY. */
enum prl_code proxy_start(struct proxy *p, apr_pool_t *pool,
			  struct prl_error *err);

/** Hands a view to every thread; the caller keeps its own reference. */
void proxy_set_view(struct proxy *p, struct steer_view *v);

/** Hands new figures of the platform to every thread. */
void proxy_set_bounds(struct proxy *p, const struct fleet_bounds *b);

/** Hands a claim's answer back to the thread that asked. */
void proxy_deliver_claim(struct proxy_claim *c);

/** Replaces the status text; takes it over. */
void proxy_set_status(struct proxy *p, char *text);

/** Stops accepting connections; requests go on. */
void proxy_quiesce(struct proxy *p);

/** Requests and connections that are still open. */
int proxy_count_open(const struct proxy *p);

/** Ends the threads; to be called when nothing is open, or it is cut. */
void proxy_stop(struct proxy *p);

/** Frees the shared tables. */
void proxy_finish(struct proxy *p);

#endif
