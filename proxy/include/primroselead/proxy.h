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
#include <primroselead/peer_times.h>
#include <primroselead/place.h>
#include <primroselead/quarantine.h>
#include <primroselead/ratio.h>
#include <primroselead/semaphore.h>
#include <primroselead/serve.h>
#include <primroselead/shared_limit.h>

/*
 * The request path: look-ups, admission control, upstream selection, and
 * streaming of request and response bodies. Each traffic thread runs an HTTP
 * listener and an HTTP client in one event loop; a request stays on the thread
 * that accepted it. The steer, place and limit packages make the decisions.
 */

/** Size of the longest head of a request that a caller's connection is sure to
 * hold if it has the usual number of fields, in bytes. */
#define PROXY_REQUEST_HEAD_MAX_BYTES (16 << 10)

/** Path prefix of the pages that this VM serves itself instead of proxying. */
#define PROXY_LOCAL_PATH_PREFIX "/-/"

/** Maximum number of traffic threads. */
#define PROXY_THREADS_MAX 64

/** Maximum length of an idempotency key, in bytes. */
#define PROXY_IDEMPOTENCY_KEY_MAX 200

/** Number of VMs that a thread remembers not to relay requests to. */
#define PROXY_AVOIDED_MAX 16

/** Maximum number of requests queued for capacity in one thread. */
#define PROXY_WAITING_MAX 1024

/** Load that an upstream told in a response. */
struct proxy_load {
	/** Requests that run and wait there. */
	int running;
	int waiting;
	/** How long work takes on its VM, in percent of the usual; -1 if not
	 * told. */
	int slowness_percent;
	/** When it was told. */
	int64_t told_ms;
};

/** The newest struct proxy_load of one source, shared by threads: a reader may
 * see the time of an older one. */
struct proxy_shared_load {
	_Atomic uint64_t packed;
	/** 0 if there is none yet. */
	_Atomic int64_t told_ms;
};

/** Load and health of one upstream as seen by this process, shared by all
 * threads. Times ending in _ms are on the clock of prl_now_ms. */
struct proxy_upstream_stats {
	/** Requests of this process that hold a slot there. */
	_Atomic int outstanding;
	/** Running requests as last reported by the upstream; -1 if it never
	 * reported. */
	_Atomic int reported_running;
	/** Time of that report. */
	_Atomic int64_t reported_ms;
	/** Moving average of the time of a successful attempt in microseconds;
	 * 0 without a sample. */
	_Atomic int64_t latency_us;
	/** Moving average of the share of failed attempts, in permille. */
	_Atomic int failure_permille;
	/** When the upstream was first considered; 0 if it has not been. */
	_Atomic int64_t first_seen_ms;
	/** Its last response named the attempt that it answers. */
	_Atomic int names_attempts;
	/** Load that it told this VM, and other VMs, which passed that on. Of
	 * routed requests only. */
	struct proxy_shared_load own_load;
	struct proxy_shared_load peer_load;
};

/** State of one service, shared by all threads. */
struct proxy_service_stats {
	/** Keeps the shifted share of requests within the shift's cap. */
	struct limit_ratio shift_limit;
	/** Plan under which the credit of "shift_limit" was earned. */
	_Atomic uint64_t shift_plan_id;
	/** Keeps the ratio of retries to successes within the retry budget. */
	struct limit_ratio retry_limit;
	/** Retry budget of routed requests. */
	struct shared_limit retry_budget;
	/** Moving average of the time of a successful attempt in microseconds,
	 * by region, used to pace shifts; 0 without a sample. */
	_Atomic int64_t latency_us[STEER_REGIONS_MAX];
	/** Requests that were shifted to another region. */
	_Atomic uint64_t shifted_total;
	/** Requests whose home is the source region of the shift. */
	_Atomic uint64_t shift_source_total;
	/** Rate of the requests that callers send to the VMs of each region for
	 * the service, in thousandths of a request per second, as the VMs tell
	 * each other; 0 while it is not known. */
	_Atomic int64_t region_demand_milli[STEER_REGIONS_MAX];
	/** Shares of the regions in this VM's requests for the service, in
	 * millionths; 0 before the first one. */
	_Atomic int64_t region_share_ppm[STEER_REGIONS_MAX];
	/** Requests that run or wait at the upstreams of another region, in
	 * thousandths, as its VMs tell, and when they told it. */
	_Atomic int64_t region_inflight_milli[STEER_REGIONS_MAX];
	_Atomic int64_t region_told_ms[STEER_REGIONS_MAX];
};

struct proxy;

/** A claim of an idempotency key, or the outcome of a request that claimed its
 * key earlier, sent to the control thread. */
struct proxy_claim {
	struct proxy_thread *thread;
	/** Handle of the request that waits for the result; 0 for an outcome,
	 * which nothing waits for. */
	uint64_t handle;
	struct claim_record record;
	/** On the clock of prl_now_ms; PRL_NEVER for an outcome. */
	int64_t deadline_ms;
	/** Set by the control thread before proxy_deliver_claim. */
	struct claim_answer result;
};

/** What a traffic thread has learned about an upstream or a service. */
enum proxy_news_type {
	/** It names a rate limit, or no longer does. */
	PROXY_NEWS_LIMIT,
	/** It is about to stop and takes no new requests. */
	PROXY_NEWS_LEAVING,
	/** It wants no requests from this VM for a while. */
	PROXY_NEWS_CLOSED,
	/** Attempts reach no upstream of its service any longer. */
	PROXY_NEWS_ISOLATED,
	/** Its connection broke under a request: it may have ended. */
	PROXY_NEWS_BROKEN,
};

/** News of an upstream, sent to the control thread, which frees it. */
struct proxy_news {
	enum proxy_news_type type;
	/** Id of the upstream, and its instance. */
	uint64_t upstream_id;
	char instance[STEER_NAME_MAX];
	union {
		struct {
			/** In thousandths of a request per second; -1 if it
			 * names none. */
			int64_t limit_milli;
			/** When the request that it answered was sent. */
			int64_t sent_ms;
		} limit;
		/** PROXY_NEWS_CLOSED: end of that time. */
		int64_t closed_until_ms;
		struct {
			char service[FLEET_SERVICE_MAX];
			/** When an upstream last answered; 0 if never. */
			int64_t answered_ms;
		} isolated;
		struct {
			char service[FLEET_SERVICE_MAX];
			char address[PRL_ADDRESS_MAX];
			/** The request, as in struct quarantine_entry. */
			struct prl_hash128 digest;
			uint64_t head;
			char about[QUARANTINE_ABOUT_MAX];
		} broken;
	} u;
};

/** Type of a message from the control thread to a traffic thread. */
enum proxy_message_type {
	/** A new routing view; the receiver owns the reference. */
	PROXY_MESSAGE_VIEW,
	/** The result of a claim; the receiver owns it. */
	PROXY_MESSAGE_CLAIM,
	/** New bounds of the platform. */
	PROXY_MESSAGE_BOUNDS,
	/** Stop accepting connections. */
	PROXY_MESSAGE_QUIESCE,
	/** Answer the requests that are still open. */
	PROXY_MESSAGE_END,
	/** Abort open connections and leave the loop. */
	PROXY_MESSAGE_STOP,
};

/** A message to a traffic thread, allocated with g_new; the receiver frees
 * it. */
struct proxy_message {
	enum proxy_message_type type;
	union {
		struct steer_view *view;
		struct proxy_claim *claim;
		struct fleet_bounds bounds;
	} u;
};

/** The rate limit in an upstream's last response to one thread. */
struct proxy_named_limit {
	/** Set if it named one. */
	int is_limited;
	int64_t limit_milli;
	/** Consecutive successful responses without it since. */
	int responses_without;
	/** When this was last sent to the control thread; 0 if never. */
	int64_t sent_ms;
};

struct proxy_request;
struct proxy_sockets;

/** Memory that several body buffers share; without a bound if "max" is 0. */
struct body_budget {
	size_t used;
	size_t max;
};

/** State of the routes' traffic splits; empty when zeroed. */
struct proxy_splits {
	/** By id of the route; null as long as there is none. */
	GHashTable *by_route;
	int64_t manifest_version;
};

/** Most handles that an easy_pool keeps. */
#define EASY_POOL_MAX 64

/** Easy handles of libcurl kept for reuse; empty when zeroed. */
struct easy_pool {
	CURL *idle[EASY_POOL_MAX];
	int nidle;
};

/** A traffic thread. After proxy_start only the thread itself accesses it,
 * except for "mailbox", "metrics" and "connections". */
struct proxy_thread {
	struct proxy *proxy;
	struct loop loop;
	struct serve listener;
	/** Further listeners, which serve only this VM's own pages: look-ups,
	 * readiness and metrics. */
	struct serve aux_listener[3];
	int naux_listener;
	/** Takes requests that other VMs relay; only if routes come from the
	 * manifest. */
	struct serve relay_listener;
	/** VMs that no requests are relayed to for a while. */
	struct {
		uint64_t id;
		int64_t until_ms;
	} avoided_peer[PROXY_AVOIDED_MAX];
	unsigned int next_avoided;
	struct place_peer_times peer_times;
	struct fetch_pool fetch_pool;
	struct mailbox mailbox;
	struct metrics metrics;
	struct fleet_bounds bounds;
	struct steer_view *view;
	/** Open requests. A handle is the entry's index plus one in its lower
	 * 32 bits and the entry's generation in its upper 32 bits. */
	struct proxy_request **request;
	/** Incremented whenever the entry is freed, so that a stale handle does
	 * not find the request that reuses it. */
	uint32_t *generation;
	int max_requests;
	/** The listeners are about to be closed: no connection may be suspended
	 * any more. */
	int is_stopping;
	/** Connections of callers that are kept open after a response. */
	int kept_max;
	/** Index at which the search for a free entry begins. */
	int next_free;
	int nrequest;
	/** Queue of requests that wait for capacity, oldest first. */
	struct proxy_request *first_waiting;
	struct proxy_request *last_waiting;
	int nwaiting;
	/** Routed requests that wait for an upstream, and the timer that tries
	 * them again. */
	struct order_queue routed_waiting;
	struct loop_timer routed_wait_timer;
	/** Requests whose body has not come: started, and held, oldest first;
	 * and requests whose callers make no progress. */
	struct {
		int nstarted;
		int nstalled;
		int64_t swept_ms;
		struct proxy_request *first;
	} unfinished;
	/** Memory of the bodies of requests, and of answers. */
	struct body_budget body_budget;
	struct body_budget answer_budget;
	/** Retries admission of the queued requests. */
	struct loop_timer wait_timer;
	/** Looks for disconnected callers. */
	struct loop_timer sweep_timer;
	/** Resumes transfers that wait for bandwidth of a link. */
	struct loop_timer link_timer;
	/** Placement statistics of this thread, by stats_index of the upstream;
	 * those shared by all threads are in struct proxy. This and the next
	 * three tables are for routed requests, and null unless the VM follows
	 * the manifest. */
	struct place_upstream_stats *placement_stats;
	/** Keep-alive timeout that the upstream announced, in s, by its
	 * stats_index; 0 if it announced none. */
	int *keep_alive_s;
	/** By stats_index of the upstream. */
	struct proxy_named_limit *named_limit;
	/** Placement state of this thread, by stats_index of the service. */
	struct place_service_state *placement_state;
	struct proxy_splits splits;
	/** Open connections to upstreams. */
	struct proxy_sockets *sockets;
	struct easy_pool easy_pool;
	uint64_t random_state;
	/** Open connections of callers, as of the last sweep; read by the
	 * control thread. */
	_Atomic int connections;
	apr_thread_t *thread;
};

/** All traffic threads and the state that they share. */
struct proxy {
	const struct prl_settings *settings;
	/** Routes come from the platform's manifest instead of service files.
	 */
	int follows_manifest;
	/** Index of this VM's region in the views. */
	int region;
	struct proxy_thread *thread;
	int nthread;
	/** By stats_index of the upstream. */
	struct proxy_upstream_stats *upstream;
	/** Capacity of regions in concurrent requests, and rates of links in
	 * Mbit/s, by semaphore_index. */
	struct limit_semaphore *semaphore;
	/** Bandwidth limiters of the links, by the same index. */
	struct limit_bandwidth *link_bandwidth;
	/** By stats_index of the service. */
	struct proxy_service_stats *service;
	/** Quotas, by stats_index of the workspace. */
	struct shared_limit *quota;
	/** Until when the control thread's values of shared limits are used, on
	 * the clock of prl_now_ms; 0 if it has set none. */
	_Atomic int64_t limits_until_ms;
	/** Requests that end upstreams; by proxy_lock_quarantine only. */
	struct quarantine *quarantine;
	apr_thread_mutex_t *quarantine_lock;
	struct quarantine_answers answers;
	/** Number of suspects in it, read without the lock. */
	_Atomic int nsuspect;
	/** Takes struct proxy_claim; received by the control thread. */
	struct mailbox *claim_mailbox;
	/** Takes the semaphore_index plus one of a region without free
	 * capacity, as a pointer; received by the control thread. */
	struct mailbox *shortage_mailbox;
	/** Takes struct proxy_news; received by the control thread. */
	struct mailbox *news_mailbox;
	/** End of the lease on this VM's capacity, on the clock of prl_now_ms.
	 * The control thread renews it while it runs; a process that was
	 * paused finds it expired and admits nothing. */
	_Atomic int64_t lease_until_ms;
	/** This VM is leaving: it reports itself as not ready and asks callers
	 * to close their connections. */
	_Atomic int leaving;
	/** This VM is about to end: new routed requests are refused. */
	_Atomic int terminating;
	/** When this process has to end, on the clock of prl_now_ms: routed
	 * requests that may last longer are refused. PRL_NEVER unless it was
	 * told to stop. */
	_Atomic int64_t end_ms;
	/** The same, if it was told to stop since the control thread last ran,
	 * which after a pause has not received the signal yet. */
	_Atomic int64_t end_if_signalled_ms;
	/** Requests of all threads that are not finished yet. */
	_Atomic int open_requests;
	/** Metrics of the control thread. */
	struct metrics control_metrics;
	/** The status page was requested; cleared by the control thread when it
	 * replaces the text. */
	_Atomic int status_requested;
	/** Protects "status". */
	apr_thread_mutex_t *status_lock;
	/** Text of the status page, allocated with malloc; null at first. */
	char *status;
};

/** Allocates the shared tables. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code proxy_init(struct proxy *p, const struct prl_settings *settings,
			 const struct fleet_bounds *bounds, int region,
			 struct mailbox *claims, struct mailbox *shortages,
			 struct mailbox *news, apr_pool_t *pool,
			 struct prl_error *err);

/** Opens the listeners and starts the traffic threads. Returns PRL_OK, PRL_E_IO
 * or PRL_E_MEMORY. */
enum prl_code proxy_start(struct proxy *p, apr_pool_t *pool,
			  struct prl_error *err);

/** Sends a view to every thread; the caller keeps its own reference. */
void proxy_set_view(struct proxy *p, struct steer_view *v);

/** Sends new bounds of the platform to every thread. */
void proxy_set_bounds(struct proxy *p, const struct fleet_bounds *b);

/** Returns 1 and the load that an upstream last told this VM; or 0 if it told
 * none. */
int proxy_get_own_load(const struct proxy *p, int stats_index,
		       struct proxy_load *out);

/** Returns the requests that run or wait at an upstream by what it told this VM
 * and others, in thousandths; older reports count less. */
int64_t proxy_told_inflight_milli(const struct proxy *p, int stats_index,
				  int64_t now_ms);

/** Takes what VMs of another region tell of the requests of a service there. */
void proxy_set_region_load(struct proxy *p, int service_index, int region,
			   int64_t inflight_milli, int64_t now_ms);

/** Takes the load that an upstream told another VM, if it is news. */
void proxy_set_peer_load(struct proxy *p, int stats_index,
			 const struct proxy_load *load);

/** Locks the table of requests that end upstreams, and returns it; every thread
 * may, for a short time. */
struct quarantine *proxy_lock_quarantine(struct proxy *p);

/** Unlocks it. */
void proxy_unlock_quarantine(struct proxy *p);

/** Sends a claim with its result back to the thread that submitted it. */
void proxy_deliver_claim(struct proxy_claim *c);

/** Replaces the text of the status page and takes ownership of it. */
void proxy_set_status(struct proxy *p, char *text);

/** Stops accepting connections; open connections and requests go on. */
void proxy_quiesce(struct proxy *p);

/** Fails the requests that wait for an answer; those that are still open after
 * that are sending theirs. */
void proxy_end_requests(struct proxy *p);

/** Number of open requests plus open connections of callers. */
int proxy_count_open(const struct proxy *p);

/** Stops and joins the threads; connections that are still open are aborted. */
void proxy_stop(struct proxy *p);

/** Frees the shared tables. Call proxy_stop first if the threads run. */
void proxy_finish(struct proxy *p);

#endif
