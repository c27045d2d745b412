#ifndef PRIMROSELEAD_FLEET_H
#define PRIMROSELEAD_FLEET_H

#include <primroselead/address.h>
#include <primroselead/hash.h>
#include <stdint.h>

/*
 * Plain data types for what the platform and its operators tell about the
 * fleet: routes, services, upstreams, bounds, and the metadata of requests and
 * responses. The platform package decodes them from the wire.
 *
 * An upstream is cold while its caches are, such as after a start. It is then
 * slower, and all VMs together send it requests at a limited rate.
 */

/** Size of a name, including the terminating null byte. */
#define FLEET_NAME_MAX 64

/** Size of a service's name, including the terminating null byte. */
#define FLEET_SERVICE_MAX 256

/** Size of a workspace's name, including the terminating null byte. */
#define FLEET_WORKSPACE_MAX 256

/** Size of a workspace's key, including the terminating null byte. */
#define FLEET_KEY_MAX 1024

/** Size of the text about a part of a manifest that is left out. */
#define FLEET_LEFT_OUT_MAX 160

/** Whether a request may be retried after it may have run. */
enum fleet_request_kind {
	/** Idempotent: may run more than once. */
	FLEET_SAFE,
	/** Must run at most once. */
	FLEET_UNSAFE,
	/** Must run at most once, and has a large body. */
	FLEET_UPLOAD,
};

/** One service's share of a route's traffic. */
struct fleet_split {
	char *service;
	/** Share relative to the weights of the route's other services, in
	 * thousandths. */
	int64_t weight_milli;
};

/** Policy for the requests of a route. */
struct fleet_policy {
	enum fleet_request_kind kind;
	/** Maximum time from the request to the response, in ms. */
	int64_t timeout_ms;
	/** Target latency in ms. */
	int64_t latency_objective_ms;
	/** Maximum number of upstreams that one request is sent to. */
	int attempts_max;
	/** Priority; a lower number is more urgent, from 0. */
	int priority;
	/** Set if requests for the same object should go to the same upstream,
	 * whose cache is then warm. */
	int sticky;
};

/** A route: the requests for one host whose path begins with a prefix. All
 * texts and tables are allocated with malloc. */
struct fleet_route {
	char *name;
	char *host;
	char *prefix;
	struct fleet_policy policy;
	/** Regions whose upstreams may serve the route; none means all. */
	char **allowed_region;
	int nallowed_region;
	struct fleet_split *split;
	int nsplit;
	/** Requests need no key although the manifest has workspaces. */
	int is_public;
};

/** A workspace: callers that are told by their keys, and their policy. All
 * texts and tables are allocated with malloc. */
struct fleet_workspace {
	/** Shorter than FLEET_WORKSPACE_MAX. */
	char *name;
	/** Digests of its keys; the keys themselves are not kept. */
	struct prl_hash128 *key;
	int nkey;
	/** Takes precedence over the route's; -1 if not given. */
	int priority;
	/** Regions whose upstreams may serve it; none means all. */
	char **allowed_region;
	int nallowed_region;
	/** Quota for all VMs together: requests per second and burst, in
	 * thousandths of a request; a rate of 0 means no limit. */
	int64_t rate_milli;
	int64_t burst_milli;
};

/** A service of the manifest. */
struct fleet_service {
	/** Shorter than FLEET_SERVICE_MAX; allocated with malloc, as the path.
	 */
	char *name;
	/** Null if not given. */
	char *health_path;
	/** Maximum number of connections that one upstream accepts from all VMs
	 * together; 0 if not given. */
	int connections_max;
	/** Time for which an upstream is cold after it has started, in ms. */
	int64_t cold_start_ms;
	/** Rate at which all VMs together may send requests to a cold upstream,
	 * in thousandths of a request per second. */
	int64_t cold_rate_milli;
};

/** The manifest's limits on the requests of callers; 0 if not given. */
struct fleet_limits {
	int64_t header_bytes_max;
	int64_t body_bytes_max;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/** One version of the operators' manifest. */
struct fleet_manifest {
	int64_t version;
	struct fleet_route *route;
	int nroute;
	struct fleet_service *service;
	int nservice;
	/** Requests need a key, but on public routes. */
	int has_workspaces;
	struct fleet_workspace *workspace;
	int nworkspace;
	struct fleet_limits limits;
	/** Number of parts that this VM can't hold and so goes without, and
	 * what the first one is. */
	int nleft_out;
	char left_out[FLEET_LEFT_OUT_MAX];
};

/** Frees what a workspace holds and makes it empty. */
void fleet_workspace_finish(struct fleet_workspace *w);

void fleet_manifest_finish(struct fleet_manifest *m);

/** Returns a service of the manifest by name, or null. */
const struct fleet_service *fleet_find_service(const struct fleet_manifest *m,
					       const char *name);

/** Whether a service names a path for health checks that can be used. */
int fleet_has_health_path(const struct fleet_service *s);

/** An upstream's own entry in the store. */
struct fleet_upstream {
	/** Identifies one start of the upstream in most cases; a restart may
	 * keep the instance name and change only "started_ms". */
	char instance[FLEET_NAME_MAX];
	char service[FLEET_SERVICE_MAX];
	char domain[FLEET_NAME_MAX];
	/** Version of the upstream's software. */
	char version[FLEET_NAME_MAX];
	char address[PRL_ADDRESS_MAX];
	/** Number of requests that the upstream runs at once. */
	int slots;
	/** Set while the upstream drains: it takes no new requests. */
	int leaving;
	/** Time for which the upstream is still cold, as of this entry, in
	 * ms. */
	int64_t cold_time_left_ms;
	/** Increases with each entry of the same start. */
	int64_t sequence;
	/** Start of the upstream in ms since 1970. */
	int64_t started_ms;
};

/** The registration of an entry VM (a VM that takes callers' requests and
 * forwards them to upstreams), by which the others find it. */
struct fleet_vm {
	char name[FLEET_NAME_MAX];
	char region[FLEET_NAME_MAX];
	char domain[FLEET_NAME_MAX];
	char http[PRL_ADDRESS_MAX];
	char rpc[PRL_ADDRESS_MAX];
	/** Incarnation in the membership protocol: raised when the VM restarts
	 * or refutes an update. */
	int64_t incarnation;
};

/** Metadata of a caller's request. */
struct fleet_request_meta {
	/** Identifier of this attempt of the caller; empty if not given. */
	char id[FLEET_NAME_MAX];
	/** Time for which the caller still waits, in ms; -1 if not given. */
	int64_t time_left_ms;
	/** Hash of the request's affinity key, which names the object that the
	 * request is for; 0 if not given. */
	uint64_t object_hash;
};

/** Metadata of an upstream's response. */
struct fleet_response_meta {
	/** The upstream states that it did not run the request. */
	int not_run;
	/** The response has the stamp of an upstream that ran the request. */
	int has_server_stamp;
	/** The body has a content encoding, so it is not the upstream's own. */
	int body_encoded;
	/** Identifier of the request; empty if not given. */
	char request_id[FLEET_NAME_MAX];
	/** Set if several identifiers are given, or a longer one. */
	int ambiguous_id;
	/** More than one instance is named, or one that is too long. */
	int ambiguous_instance;
	/** The upstream's running and waiting requests and its slots; -1 if not
	 * given. */
	int running;
	int waiting;
	int slots;
	/** How long work takes on the upstream's VM now, in percent of the
	 * usual; -1 if not given. */
	int slowness_percent;
	/** Idle time after which the upstream closes the connection, in s; 0 if
	 * not given. */
	int keep_alive_s;
	/** Time for which the upstream is still cold, in ms; -1 if not given.
	 */
	int64_t cold_time_left_ms;
	/** Instance that responded; empty if not given. */
	char instance[FLEET_NAME_MAX];
	/** Rate at which the upstream takes requests from all VMs together for
	 * now, in thousandths of a request per second; -1 if it names none. */
	int64_t rate_limit_milli;
	/** The upstream is about to stop and takes no new requests. */
	int leaving;
	/** Time for which the upstream wants no request from this VM, in ms; -1
	 * if not given. */
	int64_t retry_after_ms;
};

/** A caller's look-up of the entry VMs to use; null where not given. */
struct fleet_lookup {
	const char *host;
	const char *region;
	const char *domain;
};

/** Bounds that the platform imposes on the fleet. */
struct fleet_bounds {
	/** Retry budget of a service: retries in permille of its requests, plus
	 * "retry_extra" retries per window, for all VMs together. */
	int64_t retry_permille;
	int64_t retry_extra;
	int64_t retry_window_ms;
	/** Maximum share of a region's requests whose serving region may change
	 * within 2 s, in permille. */
	int64_t move_max_permille;
	/** Window over which the quota of a workspace is counted, in ms, the
	 * part by which it may be exceeded, in permille, and a constant number
	 * of requests beyond that. */
	int64_t quota_window_ms;
	int64_t quota_overage_permille;
	int64_t quota_slack;
	/** Maximum lifetime of a look-up response, in s. */
	int64_t lookup_ttl_max_s;
	/** Time from the stop signal until the process is killed, in
	 * ms. */
	int64_t shutdown_grace_ms;
};

/** Sets the defaults for bounds that the platform does not give. */
void fleet_bounds_init(struct fleet_bounds *b);

#endif
