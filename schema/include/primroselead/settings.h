/* Generated from schema/def/settings.def; do not edit. */
#ifndef PRIMROSELEAD_SETTINGS_H
#define PRIMROSELEAD_SETTINGS_H

#include <primroselead/schema.h>
#include <stdint.h>

/** Values of steering.source. */
enum prl_steering_source {
	PRL_STEERING_SOURCE_FILES = 0,
	PRL_STEERING_SOURCE_MANIFEST = 1,
};

/** [vm] The VM itself. */
struct prl_settings_vm {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Name of this VM, unique in the fleet. */
	char name[PRL_NAME_MAX];
	/** Region that this VM stands in. */
	char region[PRL_NAME_MAX];
	/** Failure domain that this VM stands in. */
	char domain[PRL_NAME_MAX];
	/** Incarnation number; 0 takes the time of the start. */
	int64_t incarnation;
};

/** [listen] Addresses that this VM listens on. */
struct prl_settings_listen {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Address of the HTTP listener for callers and operators. */
	char http[PRL_ADDRESS_MAX];
	/** Address of the UDP socket for other VMs. */
	char rpc[PRL_ADDRESS_MAX];
	/** Address of a further listener for look-ups. */
	char lookup[PRL_ADDRESS_MAX];
	/** Address of a further listener that tells if this VM is ready. */
	char ready[PRL_ADDRESS_MAX];
	/** Address of a further listener for metrics. */
	char metrics[PRL_ADDRESS_MAX];
};

/** [steering] Where the configuration comes from. */
struct prl_settings_steering {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Service files that are published, or the platform's manifest and
	 * entries. */
	int source;
};

/** [store] The platform's object store. */
struct prl_settings_store {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Address of the object API. */
	char address[PRL_ADDRESS_MAX];
	/** Longest wait for an answer other than that of a watch. Unit: ms. */
	int64_t timeout;
	/** Writes of claims that the whole fleet may make. Unit: writes/s. */
	int64_t writes;
};

/** [traffic] The threads and limits of the request path. */
struct prl_settings_traffic {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Number of traffic threads. */
	int64_t threads;
	/** Callers' connections accepted by one traffic thread. */
	int64_t connections;
	/** Descriptors that the process may open; 0 sets no bound beside the
	 * number of connections. */
	int64_t descriptors;
	/** Memory that the process may use, of which callers' connections,
	 * large heads and bodies have parts; 0 sets no bound. Unit: MB. */
	int64_t memory;
	/** Idle time after which a caller's connection is closed. Unit: s. */
	int64_t idle;
	/** Requests to another region for each of its upstreams, in the time
	 * for which that keeps an idle connection, from which they are sent to
	 * the upstreams instead of a VM of the region; 0: always. */
	int64_t direct_uses;
};

/** [control] The control thread. */
struct prl_settings_control {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Time between two probes of other VMs. Unit: ms. */
	int64_t heartbeat;
	/** Time that a suspected VM has to refute. Unit: ms. */
	int64_t suspect;
	/** Watchers of the store in each failure domain. */
	int64_t watchers;
	/** VMs of the whole fleet that read the store for all, if routes come
	 * from the manifest; the same on every VM. */
	int64_t readers;
	/** Time for which a grant is valid without renewal. Unit: ms. */
	int64_t lease;
	/** Number of claim shards in the fleet; the same on every VM. */
	int64_t shards;
	/** Time for which a claim is remembered. Unit: ms. */
	int64_t retention;
	/** Time between leaving the look-ups and refusing new connections.
	 * Unit: ms. */
	int64_t drain;
};

/** [domain] A failure domain of the fleet; its label is its name. */
struct prl_settings_domain {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Region that it lies in. */
	char region[PRL_NAME_MAX];
};

/** [bound] A figure that the platform holds the fleet to. */
struct prl_settings_bound {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Name and value, "name=value" in the platform's words; or the value
	 * alone if the label is the name. */
	char is[PRL_NAME_MAX];
};

/** [seed] Another VM from which this one joins the fleet. */
struct prl_settings_seed {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Address of the UDP socket of that VM. */
	char address[PRL_ADDRESS_MAX];
};

/** the settings of one VM, read once at start. */
struct prl_settings {
	struct prl_settings_vm vm;
	struct prl_settings_listen listen;
	struct prl_settings_steering steering;
	struct prl_settings_store store;
	struct prl_settings_traffic traffic;
	struct prl_settings_control control;
	struct prl_settings_domain *domain;
	int ndomain;
	struct prl_settings_bound *bound;
	int nbound;
	struct prl_settings_seed *seed;
	int nseed;
};

/** Parser table of this file kind. */
extern const struct prl_schema prl_settings_schema;

#endif
