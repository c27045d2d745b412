#ifndef PRIMROSELEAD_FLEET_H
#define PRIMROSELEAD_FLEET_H

#include <primroselead/address.h>
#include <stdint.h>

/*
 * What the platform and its operators say of the fleet: routes, services,
 * upstreams, evacuations, and the facts that a request or an answer carries.
 * Plain data; the platform package decodes it from the wire.
 */

/** Size of a name, its end included. */
#define FLEET_NAME_MAX 64

/** Size of a host name, its end included. */
#define FLEET_HOST_MAX 128

/** Size of a path or path prefix, its end included. */
#define FLEET_PATH_MAX 256

/** Most services that share one route. */
#define FLEET_SPLITS_MAX 8

/** Most regions that a route may be confined to. */
#define FLEET_HOME_REGIONS_MAX 16

/** What may be repeated. */
enum fleet_request_kind {
	/** May run more than once. */
	FLEET_SAFE,
	/** Runs at most once. */
	FLEET_UNSAFE,
	/** As FLEET_UNSAFE, with a large body. */
	FLEET_UPLOAD,
};

/** A service's part of a route. */
struct fleet_split {
	char service[FLEET_NAME_MAX];
	int weight;
};

/** How the requests of a route are to be treated. */
struct fleet_policy {
	enum fleet_request_kind kind;
	/** Longest time that a caller is kept waiting, in ms. */
	int64_t timeout_ms;
	/** Latency objective in ms. */
	int64_t latency_objective_ms;
	/** Upstreams that one request may be sent to. */
	int attempts_max;
	/** Rank; 0 is the most urgent. */
	int priority;
	/** Upstreams are faster for an object that they handled lately. */
	int sticky;
};

/** A route: requests for one host below one path. */
struct fleet_route {
	char name[FLEET_NAME_MAX];
	char host[FLEET_HOST_MAX];
	char prefix[FLEET_PATH_MAX];
	struct fleet_policy policy;
	/** Regions that may serve it; none means all. */
	char home_region[FLEET_HOME_REGIONS_MAX][FLEET_NAME_MAX];
	int nhome_region;
	struct fleet_split split[FLEET_SPLITS_MAX];
	int nsplit;
};

/** A service of the manifest. */
struct fleet_service {
	char name[FLEET_NAME_MAX];
	char health_path[FLEET_PATH_MAX];
	/** Connections that one upstream accepts from all VMs together. */
	int connections_max;
	/** Time for which an upstream is cold after its start, in ms. */
	int64_t cold_start_ms;
	/** Requests that a cold upstream bears, in thousandths a second. */
	int64_t cold_rate_milli;
};

/** Bounds on what callers send. */
struct fleet_limits {
	int64_t header_bytes_max;
	int64_t body_bytes_max;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/** One version of the operators' configuration. */
struct fleet_manifest {
	int64_t version;
	struct fleet_route *route;
	int nroute;
	struct fleet_service *service;
	int nservice;
	struct fleet_limits limits;
};

/** Frees what a manifest holds. */
void fleet_manifest_finish(struct fleet_manifest *m);

/** Service of a manifest by name, or null. */
const struct fleet_service *fleet_find_service(const struct fleet_manifest *m,
					       const char *name);

/** What an upstream says of itself. */
struct fleet_upstream {
	/** Names one start of it, mostly. */
	char instance[FLEET_NAME_MAX];
	char service[FLEET_NAME_MAX];
	char domain[FLEET_NAME_MAX];
	char version[FLEET_NAME_MAX];
	char address[PRL_ADDRESS_MAX];
	int slots;
	int leaving;
	/** Time for which it stays cold, as of its report, in ms. */
	int64_t cold_time_left_ms;
	int64_t sequence;
	/** When it started, in ms since 1970. */
	int64_t started_ms;
};

/** An entry VM as it registers itself for the others. */
struct fleet_vm {
	char name[FLEET_NAME_MAX];
	char region[FLEET_NAME_MAX];
	char domain[FLEET_NAME_MAX];
	char http[PRL_ADDRESS_MAX];
	char rpc[PRL_ADDRESS_MAX];
	int64_t incarnation;
};

/** Facts of a caller's request beside its target. */
struct fleet_request_meta {
	/** Names this attempt of the caller; empty if it sent none. */
	char id[FLEET_NAME_MAX];
	/** Time that the caller still waits, in ms; -1 if it did not say. */
	int64_t remaining_ms;
	/** Hash of the object that it concerns; 0 if it names none. */
	uint64_t object_hash;
};

/** Facts of an upstream's answer beside its status. */
struct fleet_response_meta {
	/** It says that it did not run the request. */
	int not_run;
	/** It carries the upstream's mark of having run the request. */
	int has_server_stamp;
	/** The body is encoded, so it isn't the upstream's own. */
	int body_encoded;
	/** Request that it belongs to; empty if it does not say. */
	char request_id[FLEET_NAME_MAX];
	/** Requests that run and wait there, and its slots; -1 if not said. */
	int running;
	int waiting;
	int slots;
	/** Idle time after which it closes the connection, in s; 0 if not
	 * said. */
	int keep_alive_s;
	/** Time for which the upstream stays cold in ms; -1 if not said. */
	int64_t cold_time_left_ms;
	/** Start of the upstream that answered; empty if not said. */
	char instance[FLEET_NAME_MAX];
};

/** A caller's question which VMs to use. */
struct fleet_lookup {
	const char *host;
	const char *region;
	const char *domain;
};

/** Figures that the platform holds the fleet to. */
struct fleet_bounds {
	/** Part of a service's requests that may be sent once more, in
	 * permille, and requests beyond it in one window of all VMs. */
	int64_t retry_permille;
	int64_t retry_extra;
	int64_t retry_window_ms;
	/** Greatest change of the regions that serve a region's requests
	 * within 2 s, in permille. */
	int64_t shift_permille;
	/** Longest life of an answer to a look-up, in s. */
	int64_t lookup_ttl_s;
	/** Time from a stop signal to the kill, in ms. */
	int64_t shutdown_grace_ms;
};

/** Sets the figures that hold where the platform gives none. */
void fleet_bounds_init(struct fleet_bounds *b);

#endif
