#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "routes.h"
#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Randomized soak: real VMs, two stand-in stores, stand-in upstreams and two
 * links as separate processes, callers as threads of the soak, and faults from
 * outside, all drawn from one seed. What callers and upstreams saw is compared
 * at the end.
 */

/** Most VMs: their ports lie between other ones of the fixture. */
#define SOAK_VMS_MAX 8

/** Upstreams of service "s" and of service "t". */
#define SOAK_UPSTREAMS_S 4
#define SOAK_UPSTREAMS_T 2
#define SOAK_UPSTREAMS (SOAK_UPSTREAMS_S + SOAK_UPSTREAMS_T)

/** VMs are in two groups, by turns; each has its own store and its own link to
 * the upstreams. */
#define SOAK_GROUPS 2

/** Time in ms within which VMs must act on a change, after which a fault is
 * over, or from which on callers of a VM without links must be served. */
#define SOAK_BOUND_MS 4000

/** Time without new faults at the end, in ms. */
#define SOAK_QUIET_MS 10000

/** Options of a run. */
struct soak_options {
	uint64_t seed;
	int duration_s;
	int vms;
	int callers;
};

/** Requests that end the upstreams that run them; their ids begin with this. */
#define SOAK_GUILTY 2
#define SOAK_GUILTY_ID "g"

/** Keys of workspace "acme", one of them given at times only, and of "birch",
 * which has a quota: requests per second, and at once, at all VMs together. */
#define SOAK_KEY_KEPT "soak-key-kept-8vd"
#define SOAK_KEY_GIVEN_AT_TIMES "soak-key-at-times-5hn"
#define SOAK_KEY_QUOTA "soak-key-quota-3jw"
#define SOAK_QUOTA_PER_S 10
#define SOAK_QUOTA_BURST 10

/** Time for which such an upstream is away, in ms. */
#define SOAK_AWAY_MS 500

/** What a VM is doing, as its callers need to know. */
enum soak_vm_state {
	SOAK_VM_UP,
	/** Stopping as planned: its open connections are still used. */
	SOAK_VM_STOPPING,
	SOAK_VM_DOWN,
};

/** A fault as it happened; times of prl_now_ms. */
struct soak_fault {
	const char *kind;
	/** VM or group concerned; 0 if none. */
	int subject;
	int64_t begin_ms;
	int64_t end_ms;
};

/** What callers and operators may rely on; "checked" and "broken" are counted
 * for each. */
enum soak_promise {
	SOAK_NONE,
	SOAK_OWN_ANSWER,
	SOAK_STAMP,
	SOAK_STATUS,
	SOAK_WHOLE_ANSWER,
	SOAK_ONCE,
	SOAK_NOT_RUN,
	SOAK_PLANNED_STOP,
	SOAK_LEFT,
	SOAK_LEFT_RESTART,
	SOAK_LEASE,
	SOAK_GONE,
	SOAK_LINKS,
	SOAK_RECOVERY,
	SOAK_QUARANTINE,
	SOAK_INNOCENT,
	SOAK_ENDED,
	SOAK_NO_KEY,
	SOAK_KEY_TAKEN,
	SOAK_KEY_GIVEN,
	SOAK_QUOTA,
	SOAK_UNFINISHED,
	SOAK_PROMISES,
};

/** A request as its caller saw it; times of prl_now_ms. */
struct soak_request {
	char id[24];
	char path[40];
	int vm;
	/** Must not run twice. */
	int once;
	/** The upstream is asked for a proper answer. */
	int plain;
	int64_t begin_ms;
	int64_t end_ms;
	/** HTTP status; 0 if no complete response came. */
	int status;
	/** The VM promised that the request did not run. */
	int not_run;
	/** What its response broke. */
	enum soak_promise broken;
	/** Process id of the VM when the request was sent. */
	pid_t pid;
};

/** A run. */
struct soak {
	struct soak_options options;
	GRand *random;
	pid_t vm_pid[SOAK_VMS_MAX + 1];
	_Atomic int vm_state[SOAK_VMS_MAX + 1];
	_Atomic int vm_pid_now[SOAK_VMS_MAX + 1];
	int64_t vm_started_ms[SOAK_VMS_MAX + 1];
	/** No more faults. */
	_Atomic int is_quiet;
	_Atomic int stopped;
	int64_t stopped_ms;
	/** struct soak_planned, struct soak_fault, and struct soak_request. */
	GArray *plan;
	GArray *faults;
	GArray *requests;
	GMutex requests_lock;
	int entry_sequence;
	int manifest_version;
	int is_key_given;
	/** State in the last entry of each upstream, by number from 1; NULL if
	 * it has none. */
	const char *upstream_state[SOAK_UPSTREAMS + 1];
	/** How often each one has started again. */
	int upstream_starts[SOAK_UPSTREAMS + 1];
	/** Held while entries are written. */
	GRecMutex entries_lock;
};

/** Port of the store, and of the link's admin pages, of a group. */
int soak_store_port(int group);
int soak_link_admin_port(int group);

/** Group of a VM. */
int soak_group(int vm);

/** Starts the fleet. */
void soak_start_fleet(struct soak *s);

/** Writes the entry of an upstream, by number from 1, to both stores. "state"
 * is static. */
void soak_put_upstream(struct soak *s, int n, const char *state);

/** Removes an upstream's entry. */
void soak_remove_upstream(struct soak *s, int n);

/** Writes the last entry of an upstream again, or that it has none. */
void soak_write_upstream(struct soak *s, int n);

/** Writes the manifest in force to the store of a group. */
void soak_write_manifest(struct soak *s, int group);

/** Writes a new version to both stores. */
void soak_change_manifest(struct soak *s);

/** Takes the key away that is given at times, or gives it back, by a new
 * version. */
void soak_change_key(struct soak *s);

/** Starts a VM without waiting. */
void soak_start_vm(struct soak *s, int vm);

/** Starts the thread that sends the guilty requests, and joins it. */
void soak_start_guilty(struct soak *s);
void soak_join_guilty(struct soak *s);

/** Checks how many upstreams ended under the guilty requests, and whether
 * others are in quarantine. */
void soak_check_guilty(const struct soak *s);

/** Finds how often the upstreams ran a request, and when last. */
typedef int soak_find_run(void *runs, const char *id, int64_t *last_ms);

/** Start and join the threads that send requests with keys, and change a key.
 */
void soak_start_keyed(struct soak *s);
void soak_join_keyed(void);

/** Checks what became of them. */
void soak_check_keyed(const struct soak *s, soak_find_run *find, void *runs);

/** Start and join the callers that do not finish their requests. */
void soak_start_held(struct soak *s);
void soak_join_held(void);

/** Checks what became of their requests. */
void soak_check_held(const struct soak *s, soak_find_run *find, void *runs);

/** Starts the callers' threads, and joins them after "stopped" was set. */
void soak_start_callers(struct soak *s);
void soak_join_callers(struct soak *s);

/** Injects the faults of the schedule, and waits a while without any. */
void soak_inject_faults(struct soak *s);

/** Compares what callers and upstreams saw, and reports what is broken. */
void soak_check(struct soak *s);

/** Counts a case in which a promise was checked. */
void soak_count_check(enum soak_promise promise);

/** Prints a broken promise, and how to run the same again. */
void soak_report(const struct soak *s, enum soak_promise promise,
		 const char *format, ...) __attribute__((format(printf, 3, 4)));

/** Prints the counts. Returns the number of broken promises. */
int soak_print_promises(void);

#endif
