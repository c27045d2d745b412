#ifndef PROXY_REQUEST_H
#define PROXY_REQUEST_H

#include "body.h"
#include "identity.h"
#include "suspects.h"
#include "unfinished.h"
#include "verdict.h"
#include <primroselead/header_list.h>
#include <primroselead/proxy.h>
#include <primroselead/response_head.h>

/** State of a request. */
enum request_state {
	/** Not admitted yet. */
	REQUEST_NEW,
	/** Queued for capacity; a routed request, for an upstream. */
	REQUEST_WAITING,
	/** Waits until its idempotency key is claimed. */
	REQUEST_CLAIMING,
	/** An attempt is under way; no final response headers yet. */
	REQUEST_ATTEMPTING,
	/** The upstream's response is passed on; its headers are complete, its
	 * body may be incomplete. */
	REQUEST_RESPONDING,
	/** Failed without an upstream's response to pass on; "status" and
	 * "cause" say why. */
	REQUEST_FAILED,
};

/** Whether an upstream has executed the request. */
enum request_outcome {
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_RAN,
};

/** Where an attempt is sent. */
enum request_hop {
	HOP_UPSTREAM,
	/** Another VM: this one reaches no upstream, or that one is in the
	 * region where the request is to run. */
	HOP_PEER,
};

/** Size of an attempt's id with its end. */
#define REQUEST_ATTEMPT_ID_MAX 20

/** Which attempt a response of a service file's upstream names. */
enum response_naming {
	NAMING_NONE,
	NAMING_THIS,
	/** Another one, or more than one. */
	NAMING_OTHER,
};

/** What another VM says of a request that was relayed to it. */
enum peer_outcome {
	/** Also if it does not say. */
	PEER_UNKNOWN,
	PEER_NOT_RUN,
	PEER_RAN,
};

/** Why another VM refuses a request that it is to place in its region. */
enum peer_refusal {
	/** For a reason that holds at all VMs, or that it does not tell. */
	PEER_REFUSAL_FINAL,
	/** No upstream of the region takes new work. */
	PEER_REFUSAL_REGION,
	/** For a reason of its own; others may take the request. */
	PEER_REFUSAL_VM,
};

/**
 * The body of a request, from its first byte to the answer. While it is open it
 * goes to the upstream, and its connection may be suspended until there is
 * room. Once the answer is decided, nobody reads it any more: it is discarded,
 * and the connection is never suspended. libmicrohttpd takes a response only
 * when the body has ended; if that takes long, the answer is sent on the
 * connection itself, which is closed after the body.
 */
enum upload_state {
	UPLOAD_OPEN,
	/** The answer is decided and not sent. */
	UPLOAD_DISCARDED,
	/** The answer is being sent, or was, while the body still came. */
	UPLOAD_ANSWERED,
};

/** One caller's request. Points in time ending in _ms are on the clock of
 * prl_now_ms, those ending in _us on that of prl_now_us. */
struct proxy_request {
	struct proxy_thread *thread;
	/** Connection of the caller; null once the request is detached. */
	struct MHD_Connection *conn;
	/** Listener that accepted the connection. */
	struct serve *listener;
	uint64_t handle;
	struct steer_view *view;
	/** Null until the service is known. */
	const struct steer_service *service;
	enum request_state state;
	enum request_outcome outcome;
	/** The request headers have been read and dispatched. */
	int headers_read;
	char method[16];
	/** Size of the request's head at least, and room for the head of the
	 * answer, in bytes. */
	size_t request_head_bytes;
	size_t answer_room;
	/** The caller speaks HTTP/1.0, which knows no chunks. */
	int is_http_1_0;
	/** Path and query exactly as the caller sent them. */
	char *target;
	/** Must not be executed twice: retried only if it did not run. */
	int at_most_once;
	struct claim_record claim;
	/** The claim was granted to this request. */
	int claimed;
	/** Hash of the block of client addresses; callers of one block are
	 * steered alike. */
	uint64_t caller_block;
	int home_region;
	/** In the share of requests that a shift moves. */
	int shifted;
	int64_t started_us;
	int64_t deadline_ms;
	/** End of the wait for capacity; 0 if the request was not queued. */
	int64_t wait_until_ms;
	/** When a queued request may use regions other than its home. */
	int64_t spill_at_ms;
	struct proxy_request *next_waiting;

	/** Dispatched by the routes of the platform's manifest; the fields down
	 * to "retry_after_ms" are for such requests only. */
	int routed;
	struct fleet_policy policy;
	/** Bit mask of the regions that may serve it; 0 means all. */
	uint32_t region_mask;
	char service_name[FLEET_SERVICE_MAX];
	/** Hash and name of the caller's workspace; 0 and empty if it has none.
	 * The workspace itself is the view's, which may be replaced. */
	uint64_t workspace_id;
	char workspace_name[FLEET_WORKSPACE_MAX];
	/** The manifest had workspaces when the request was judged. */
	int hides_key;
	/** Quota that the request has taken from; null if none. */
	struct shared_limit *quota;
	struct fleet_request_meta request_meta;
	struct fleet_response_meta response_meta;
	enum verdict verdict;
	/** Ids of the upstreams that were tried. */
	uint64_t tried[PLACE_TRIED_MAX];
	int ntried;
	/** Estimates at the time of placement: queueing delay at the upstream,
	 * and requests in flight there, in thousandths. */
	int64_t expected_wait_ms;
	int64_t inflight_milli;
	/** Age of the upstream's load report then; PRL_NEVER without one. */
	int64_t report_age_ms;
	/** Position of the upstream in the object's preference order. */
	int rank;
	/** Instance name of the last attempt's upstream. */
	char instance[STEER_NAME_MAX];
	/** Delay announced to a refused caller. */
	int64_t retry_after_ms;
	/** Expected time until an upstream can take the request, if none could
	 * when it was last tried; PRL_NEVER if that is not known. */
	int64_t delay_ms;
	/** The request has been deposited in the retry budget. */
	int retry_deposited;
	/** Begin of the last wait for an upstream, and the sum of all waits. */
	int64_t queued_at_us;
	int64_t queued_us;

	/** Relayed by another VM, and the name that this VM gave. */
	int relayed;
	char relayed_by[STEER_NAME_MAX];
	enum request_hop hop;
	/** VM that the current attempt is sent to, with HOP_PEER. */
	uint64_t peer_id;
	char peer_address[PRL_ADDRESS_MAX];
	enum peer_outcome peer_outcome;
	/** That VM says that it did not reach an upstream either. */
	int peer_out_of_reach;
	/** Region for which that VM is to place the request; STEER_NONE if it
	 * treats the request as its own. */
	int peer_region;
	/** Attempts at upstreams that it was allowed, and, if it refuses the
	 * request, those that it made and why it refuses. */
	int peer_allowed;
	int peer_attempts;
	enum peer_refusal peer_refusal;
	/** Why this VM refuses a request that it was to place in its region. */
	enum peer_refusal refusal;
	/** Another VM has chosen this VM's region for the request. */
	int passed_on;
	/** Region that the shares gave the request when it was placed first, if
	 * it was. */
	int planned_region;
	int is_planned;
	/** Bit mask of the regions whose VMs had no room for the request. */
	uint32_t full_regions;
	/** VMs that the request was relayed to so far. */
	int nrelay;
	/** Attempts that may have reached an upstream. */
	int attempts_sent;
	/** The last attempt found no connection to its upstream. */
	int unreached;
	/** Refused because no upstream of the service is within reach. */
	int isolated;

	/** Region whose capacity the request holds; STEER_NONE if none. */
	int region;
	enum steer_reason reason;
	/** Semaphore index of the link to that region; STEER_NONE if the link
	 * has no bandwidth limit. */
	int link;
	/** The transfer is paused until the link has bandwidth. */
	int link_paused;
	/** Upstream on which the request holds a slot; null if none. */
	const struct steer_upstream *upstream;
	/** Upstream of the last failed attempt. */
	const struct steer_upstream *failed_upstream;
	/** Attempts started so far. */
	int attempts;
	int64_t attempt_started_us;
	/** Since when the attempt's transfer waits for the caller to send or to
	 * read; 0 if it does not. And how long it has waited before, in us. */
	int64_t caller_awaited_since_us;
	int64_t caller_awaited_us;
	/** The current attempt has a connection and may have sent bytes. */
	int maybe_sent;
	/** Socket opened for the attempt; -1 if it reuses a connection. */
	int new_fd;
	/** Keep-alive connections that this attempt has found and may not use;
	 * the current transfer ends since it found one. */
	int unfit_connections;
	int found_unfit;
	/** Hash of the endpoints of the attempt's connection. */
	uint64_t endpoint_hash;
	/** Id of the attempt, unless the request is routed. */
	char attempt_id[REQUEST_ATTEMPT_ID_MAX];
	enum response_naming naming;

	struct request_identity identity;
	struct request_suspicion suspicion;
	struct request_unfinished unfinished;
	/** Body from the caller. */
	struct body_buffer request_body;
	int has_body;
	/** Value of Content-Length; -1 if there is none. */
	int64_t request_length;
	/** The headers do not define reliably where the body ends. */
	int bad_framing;
	int request_body_ended;
	/** Body from the upstream. */
	struct body_buffer response_body;
	int response_body_ended;
	/** Bytes of the response's heads, and of its body, received in the
	 * current attempt. */
	size_t head_bytes;
	size_t received_bytes;
	/** Bytes of the response's body with its framing, if it comes in
	 * chunks, and pieces of it since others had their turn. */
	uint64_t framed_bytes;
	int pieces;
	/** This VM ended the transfer, since a body that is not passed on was
	 * too long. */
	int discard_ended;
	/** The response broke off after a part of it was passed on. */
	int response_body_failed;

	struct fetch fetch;
	int transfer_active;
	int upload_paused;
	int download_paused;
	/** Headers sent to the upstream. */
	struct header_list request_headers;
	/** HTTP status: of the upstream's response, or of the error response
	 * if the request failed. */
	int status;
	/** Content-Length of the response; -1 if there is none. */
	int64_t response_length;
	struct header_list response_headers;
	/** How far the response of the current attempt has come. */
	struct response_head head;
	/** Requests that the current attempt's connection has carried, this one
	 * included. */
	int connection_uses;
	/** Why the request failed; a static string. */
	const char *cause;
	/** Result from libcurl of the last failed attempt. */
	CURLcode curl_result;
	/** Statements of the current head about the request's outcome; only one
	 * that stands alone counts. */
	int outcome_statements;
	/** The upstream reported that it did not run the request. */
	int upstream_refused;
	/** The response is discarded and a retry has been granted. */
	int retry_pending;
	/** An earlier attempt may have run. */
	int maybe_ran;

	/** Response queued to the listener. */
	struct MHD_Response *mhd_response;
	int responded;
	/** The listener does not read from or write to the connection. */
	int suspended;
	enum upload_state upload;
	/** When an answer that is decided is sent although the body has not
	 * ended; until when the body is discarded then, and the bytes discarded
	 * so far. */
	int64_t answer_at_ms;
	int64_t discard_until_ms;
	size_t discarded_bytes;
	/** What is left of an answer that is sent on the connection itself;
	 * null before. */
	GString *answer;
	/** Close the connection when the listener next calls the handler: the
	 * caller disconnected while suspended, or the thread stops. */
	int abort_connection;
	/** The caller has disconnected; an at-most-once request runs to its end
	 * without it. */
	int detached;
};

/** Allocates a request and enters it in the thread's table. Returns null if out
 * of memory or if the table is full. */
struct proxy_request *request_new(struct proxy_thread *t,
				  struct MHD_Connection *conn,
				  const char *target);

/** Logs the request, cancels its transfer, releases what it holds and frees it.
 */
void request_free(struct proxy_request *r);

/** Logs the result of a routed request and the data of its placement. */
void request_log(const struct proxy_request *r);

/** Logs an attempt of a routed request that did not succeed. */
void request_log_attempt(const struct proxy_request *r, const char *result);

/** Logs that a routed request is refused since this VM ends. */
void request_log_refused_stop(const struct proxy_request *r);

/** Returns the request with a handle, or null if it has been freed. */
struct proxy_request *request_find(struct proxy_thread *t, uint64_t handle);

/** Returns the hash of the id by which answers name the request; it is the same
 * whenever a routed request is sent, also by different VMs. */
uint64_t request_id_hash(const struct proxy_request *r);

/** Makes the thread's newest view that of the request. */
void request_use_newest_view(struct proxy_request *r);

/** Resumes the caller's connection if it is suspended. */
void request_resume(struct proxy_request *r);

/** Suspends the caller's connection until request_resume. */
void request_suspend(struct proxy_request *r);

/** Validates the headers, finds the service and admits the request or fails it.
 * "url" is the path without the query. */
void request_dispatch(struct proxy_request *r, const char *url);

/** As request_dispatch, in a fleet that follows the platform's manifest. */
void request_dispatch_routed(struct proxy_request *r);

/** Returns the value of a request header, or null. */
const char *request_header(const struct proxy_request *r, const char *name);

/** Reads from the headers whether there is a body and its length. Returns null,
 * or a static string that says why the framing is invalid. */
const char *request_read_framing(struct proxy_request *r);

/** Fails the request with an HTTP status and a cause (a static string); the
 * handler sends the error response. */
void request_fail(struct proxy_request *r, unsigned int status,
		  const char *cause);

/** Formats the whole answer of a failed request, or the head of the upstream's
 * response, as the bytes of an HTTP response. Returns null if out of memory. */
GString *request_format_answer(struct proxy_request *r);

/** Queues the error response of a failed request. */
enum MHD_Result request_send_error(struct proxy_request *r);

/** Refuses a request that has not run, since this VM ends. */
void request_refuse_stop(struct proxy_request *r, const char *cause);

/** Fails a request that waits for an answer, since this VM ends. */
void request_end(struct proxy_request *r);

/** Called when the listener is done with the request, after its response or
 * because the caller disconnected: frees it, or detaches an at-most-once
 * request that is under way. */
void request_detach_or_free(struct proxy_request *r);

/** Acquires capacity and starts the request, or queues it; sheds it if the
 * queue is full or the lease on capacity has expired. */
void request_admit(struct proxy_request *r);

/** Retries admission of the queued requests, oldest first. */
void request_admit_waiting(struct proxy_thread *t);

/** Removes a request from the queue, if it is there. */
void request_dequeue(struct proxy_request *r);

/** Handles the result of the request's claim: starts the first attempt or fails
 * the request. */
void request_claim_settled(struct proxy_request *r,
			   const struct claim_answer *a);

/** Sends the request's outcome, as the new status of its claim, to the control
 * thread, which writes it to the log of the claim's shard. */
void request_update_claim(struct proxy_request *r, enum claim_status status);

/** Chooses an upstream and acquires a slot there, unless the request holds one.
 * Returns 1; or 0 if no upstream takes new work, after failing the request. */
int request_reserve_upstream(struct proxy_request *r);

/** Starts an attempt at the reserved upstream, or reserves one first. */
void request_start_attempt(struct proxy_request *r);

/** Cancels the transfer and releases the upstream's slot and the region's
 * capacity. */
void request_release(struct proxy_request *r);

/** Queues the upstream's response; its headers must be complete. */
enum MHD_Result request_send_response(struct proxy_request *r);

/** Returns the semaphore index of the link from this VM's region to another, or
 * STEER_NONE if it has no bandwidth limit. */
int link_to_region(const struct proxy_request *r, int region);

/** Whether a running transfer may send bytes over a link now. Always 1 for
 * STEER_NONE. */
int link_ready(struct proxy *p, int link);

/** Whether a new request may use a link now. Always 1 for STEER_NONE. */
int link_admits(struct proxy *p, int link);

/** Counts bytes that a transfer has sent or received against its link. */
void link_charge(struct proxy_request *r, size_t bytes);

/** Marks the request's transfer as paused until its link is ready. */
void link_pause_transfer(struct proxy_request *r);

/** Timer callback: resumes the transfers whose links are ready. */
void link_resume_transfers(struct loop_timer *timer, int64_t now);

/** Whether a header must not be forwarded: it is hop-by-hop, or named by the
 * value of the Connection header ("connection" may be null). */
int header_is_hop_by_hop(const char *name, const char *connection);

#endif
