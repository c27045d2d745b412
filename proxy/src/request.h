#ifndef PROXY_REQUEST_H
#define PROXY_REQUEST_H

#include "body.h"
#include "verdict.h"
#include <primroselead/proxy.h>

/** Where a request stands. */
enum request_state {
	/** Headers are read, nothing is decided. */
	REQUEST_NEW,
	/** Waits for capacity. */
	REQUEST_WAITING,
	/** Waits for the claim of its key. */
	REQUEST_CLAIMING,
	/** On its way to an upstream; no answer yet. */
	REQUEST_SENT,
	/** The answer's headers are known; the body may still come. */
	REQUEST_RESPONDING,
	/** Given up; "status" and "cause" say why. */
	REQUEST_FAILED,
};

/** What is known of whether the request ran. */
enum request_outcome {
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_RAN,
};

/** One caller's request. */
struct proxy_request {
	struct proxy_thread *thread;
	struct MHD_Connection *conn;
	uint64_t handle;
	struct steer_view *view;
	const struct steer_service *service;
	enum request_state state;
	enum request_outcome outcome;
	/** The headers have been read. */
	int headers_read;
	char method[16];
	/** Path and query as the caller wrote them. */
	char *target;
	/** Runs at most once. */
	int at_most_once;
	struct claim_record claim;
	int claimed;
	uint64_t caller_block;
	int home_region;
	/** In the share that a shift moves. */
	int shifted;
	int64_t started_us;
	int64_t deadline_ms;
	int64_t wait_until_ms;
	int64_t spill_at_ms;
	struct proxy_request *next_waiting;

	/** A route of the manifest matched; the fields to "retry_after" are
	 * for such requests alone. */
	int routed;
	struct fleet_policy policy;
	/** Regions that may serve it, a bit each; 0 means all. */
	uint32_t region_mask;
	char service_name[STEER_NAME_MAX];
	struct fleet_request_meta request_meta;
	struct fleet_response_meta response_meta;
	enum verdict verdict;
	uint64_t tried[PLACE_TRIED_MAX];
	int ntried;
	/** Expected when it was placed, and the requests estimated to be there
	 * then, in thousandths. */
	int64_t expected_wait_ms;
	int64_t inflight_milli;
	int rank;
	/** Instance of the last attempt's upstream. */
	char instance[STEER_NAME_MAX];
	/** Time that a refused caller is told to stay away, in ms. */
	int64_t retry_after_ms;

	/** Region whose capacity is taken; STEER_NONE if none is. */
	int region;
	enum steer_reason reason;
	/** Link to that region; STEER_NONE if it isn't limited. */
	int link;
	/** The transfer waits until the link may carry more. */
	int link_paused;
	/** Upstream in use; STEER_NONE if none is. */
	const struct steer_upstream *upstream;
	const struct steer_upstream *failed_upstream;
	int attempts;
	int64_t attempt_started_us;
	/** The current attempt has a connection and may have sent bytes. */
	int maybe_sent;
	/** Socket that was opened for the attempt; -1 if a connection is used
	 * again. */
	int new_fd;
	/** Connections of this attempt that were not fit to be used again. */
	int stale_connections;

	/** Body from the caller. */
	struct body_buffer request_body;
	int has_body;
	int64_t request_length;
	/** Where it ends can't be told. */
	int bad_framing;
	int request_body_ended;
	/** Body from the upstream. */
	struct body_buffer response_body;
	int response_body_ended;
	int response_body_failed;

	struct fetch fetch;
	int transfer_active;
	int upload_paused;
	int download_paused;
	struct curl_slist *request_headers;
	/** Answer's status and headers as they come. */
	int status;
	int64_t response_length;
	struct curl_slist *response_headers;
	const char *cause;
	/** How libcurl ended the last attempt that failed. */
	CURLcode curl_result;
	/** The upstream said that it did not run the request. */
	int upstream_refused;
	/** The attempt's answer is dropped and another attempt made. */
	int retry_pending;
	/** An earlier attempt may have run. */
	int maybe_ran;

	struct MHD_Response *mhd_response;
	int responded;
	int suspended;
	/** When a refused caller must have sent the rest of its body, which is
	 * dropped; and how much of it was. */
	int64_t discard_until_ms;
	size_t discarded_bytes;
	/** The caller closed its connection while nobody read from it. */
	int abort_connection;
	/** The caller has left; what runs at most once goes on without it. */
	int detached;
};

/** Makes a request and puts it into the thread's table; null if there is no
 * memory. */
struct proxy_request *request_new(struct proxy_thread *t,
				  struct MHD_Connection *conn,
				  const char *target);

/** Ends everything that the request has and frees it. */
void request_free(struct proxy_request *r);

/** Writes the line that tells what became of a request, and why. */
void request_log(const struct proxy_request *r);

/** Writes a line for an attempt that did not go well. */
void request_log_attempt(const struct proxy_request *r, const char *result);

/** Request by handle, or null if it is gone. */
struct proxy_request *request_find(struct proxy_thread *t, uint64_t handle);

/** Lets the listener go on with the caller's connection. */
void request_resume(struct proxy_request *r);

/** Stops the listener from looking at the caller's connection. */
void request_suspend(struct proxy_request *r);

/** Reads the headers and decides what to do. */
void request_dispatch(struct proxy_request *r, const char *url);

/** The same for a fleet that follows the platform's manifest. */
void request_dispatch_routed(struct proxy_request *r);

/** Value of a request's header, or null. */
const char *request_header(const struct proxy_request *r, const char *name);

/** Reads whether and how long a body is. Returns null, or what is wrong with
 * the lines that say so. */
const char *request_read_framing(struct proxy_request *r);

/** Gives up with a status and a cause; the handler sends the answer. */
void request_fail(struct proxy_request *r, unsigned int status,
		  const char *cause);

/** Queues the answer of a request that was given up. */
enum MHD_Result request_send_error(struct proxy_request *r);

/** The caller is gone: ends the request, or lets it end by itself. */
void request_caller_disconnected(struct proxy_request *r);

/** Tries to take capacity; sends the request on or lets it wait. */
void request_admit(struct proxy_request *r);

/** Tries the requests that wait for capacity, in order. */
void request_admit_waiting(struct proxy_thread *t);

/** Takes a request out of the waiting list. */
void request_dequeue(struct proxy_request *r);

/** The claim was settled. */
void request_claim_settled(struct proxy_request *r,
			   const struct claim_answer *a);

/** Writes what became of a claimed request into its shard's log. */
void request_update_claim(struct proxy_request *r, enum claim_status status);

/** Chooses an upstream and takes a slot there. Returns 1, or 0 if none takes
 * new work; the request is then given up. */
int request_reserve_upstream(struct proxy_request *r);

/** Begins an attempt at the upstream reserved, or at one chosen now. */
void request_start_attempt(struct proxy_request *r);

/** Ends the attempt and gives the upstream's and the region's place back. */
void request_release(struct proxy_request *r);

/** Queues the upstream's answer, whose headers are complete. */
enum MHD_Result request_send_response(struct proxy_request *r);

/** Link between this VM's region and another one, or STEER_NONE. */
int link_to_region(const struct proxy_request *r, int region);

/** Whether a link may carry bytes now. */
int link_ready(struct proxy *p, int link);

/** Notes that a transfer waits for its link. */
void link_pause_transfer(struct proxy_request *r);

/** Goes on with the transfers whose links may carry bytes again. */
void link_resume_transfers(struct loop_timer *timer, int64_t now);

/** Whether a header concerns one connection alone. */
int header_is_hop_by_hop(const char *name, const char *connection);

#endif
