#ifndef PRIMROSELEAD_CONFIG_H
#define PRIMROSELEAD_CONFIG_H

#include <glib.h>
#include <primroselead/schema.h>
#include <primroselead/service.h>
#include <primroselead/settings.h>
#include <primroselead/spread.h>
#include <primroselead/steer.h>

/** Maximum size of a service file in bytes. The file and its publication
 * header must fit into one datagram. */
#define CONFIG_FILE_MAX 32768

/** Maximum number of publications in the header of a service file. */
#define CONFIG_HISTORY_MAX 20

/**
 * Parses and validates a service file. Every fault is added to "faults".
 * Arrays in "out" are allocated from "pool". Returns PRL_OK, PRL_E_CONFIG if
 * there is any fault, or PRL_E_MEMORY.
 */
enum prl_code config_service_parse(const char *text, size_t len,
				   struct prl_service *out, apr_pool_t *pool,
				   struct prl_faults *faults,
				   struct prl_error *err);

/** Parses and validates a VM's settings file. Returns the same codes as
 * config_service_parse. */
enum prl_code config_settings_parse(const char *text, size_t len,
				    struct prl_settings *out, apr_pool_t *pool,
				    struct prl_faults *faults,
				    struct prl_error *err);

/** One publication of a service file. */
struct config_publication {
	/** Random identifier. */
	char id[20];
	/** Object version that this publication replaced; 0 for the first
	 * one. */
	int64_t replaced_version;
	/** Name of the person or program that published the file. */
	char publisher[PRL_NAME_MAX];
	/** Publication time in ms since 1970. */
	int64_t published_ms;
	/** Hash of the file's text without the header. */
	uint64_t digest;
};

/** Publications of one service, newest first. */
struct config_history {
	struct config_publication publication[CONFIG_HISTORY_MAX];
	int npublication;
};

/**
 * Returns the file's text with the history prepended as comment lines, so that
 * a single conditional update stores the file and its history atomically. The
 * caller frees the result with g_free.
 */
char *config_history_prepend(const struct config_history *h, const char *text);

/** Parses the history header of a stored value. Returns a pointer into
 * "value" to the first byte after the header. */
const char *config_history_parse(const char *value, struct config_history *h);

/** Inserts a publication at the front; drops the oldest if the history is
 * full. */
void config_history_add(struct config_history *h,
			const struct config_publication *p);

/** Entry of the platform's VM list. */
struct config_vm {
	char name[PRL_NAME_MAX];
	/** 1 for an entry VM, which takes callers' requests and forwards them;
	 * 0 for a VM that runs an upstream. */
	int is_entry;
	/** STEER_GONE if the entry was removed from the list. */
	enum steer_state state;
	char region[PRL_NAME_MAX];
	char domain[PRL_NAME_MAX];
	/** "host:port" addresses for HTTP and for RPC; empty if unknown. */
	char http[PRL_ADDRESS_MAX];
	char rpc[PRL_ADDRESS_MAX];
};

/** Parses an entry of the VM list; an empty value gives state STEER_GONE.
 * Returns PRL_OK, or PRL_E_PROTOCOL if the value is not a JSON object. */
enum prl_code config_vm_parse(const struct spread_object *o,
			      struct config_vm *out, struct prl_error *err);

/** Parses the stored progress of a traffic shift. Returns zero progress if
 * "o" is null or its text is not valid. */
struct steer_shift_progress
config_progress_parse(const struct spread_object *o);

/** Formats the progress of a traffic shift into a buffer of "size" bytes. */
void config_progress_format(const struct steer_shift_progress *p, char *text,
			    size_t size);

/** Maximum number of indexes in one table. Arrays of per-upstream and
 * per-service state have this size. */
#define CONFIG_INDEXES_MAX 16384

/**
 * Maps names to small integers that stay the same across rebuilt views, so
 * that state can be kept in arrays. An index is reused only some time after
 * its name was last used.
 */
struct config_index_table {
	/** Index entries by name. */
	GHashTable *by_name;
	/** Indexes handed out so far, the freed ones included. */
	int nallocated;
	/** Indexes available for reuse. */
	GArray *free_indexes;
	/** Number of the current mark-and-sweep round. */
	uint64_t round;
};

/** Builds views; used by the control thread only. */
struct config_builder {
	/** Region names by index. An index never changes once assigned. */
	char region[STEER_REGIONS_MAX][STEER_NAME_MAX];
	int nregion;
	/** Indexes of failure domains by name, plus 1. */
	GHashTable *domains;
	struct config_index_table upstream_indexes;
	/** Indexes of the semaphores of regions and links. */
	struct config_index_table semaphore_indexes;
	struct config_index_table service_indexes;
	struct config_index_table workspace_indexes;
	/** Reference-counted services by name; views share them. */
	GHashTable *services;
	/** enum steer_state by HTTP address, from the platform's VM list. */
	GHashTable *vm_state;
};

void config_builder_init(struct config_builder *b);

/** Frees the builder. Views that it built stay valid. */
void config_builder_finish(struct config_builder *b);

/** Returns the index of a region and assigns one on first use; -1 if
 * STEER_REGIONS_MAX regions are already known. */
int config_region_index(struct config_builder *b, const char *name);

/** Returns the index of a region, or -1 if it has none yet. */
int config_region_find(const struct config_builder *b, const char *name);

/** Returns the bit mask of the named regions that have an index; the others
 * have no VM and no upstream. */
uint32_t config_region_mask(const struct config_builder *b, char *const *name,
			    int n);

/** Returns the index of a failure domain and assigns one on first use. */
int config_domain_index(struct config_builder *b, const char *name);

/** Records the state of a VM from the VM list. Returns 1 if it changed; the
 * caller must then rebuild the services that have upstreams on that VM. */
int config_set_vm_state(struct config_builder *b, const struct config_vm *vm);

/**
 * Rebuilds one service from its object and the progress of its traffic shift.
 * An empty object removes the service. On error the previous version of the
 * service stays in force. Returns PRL_OK, PRL_E_CONFIG, PRL_E_LIMIT or
 * PRL_E_MEMORY.
 */
enum prl_code config_build_service(struct config_builder *b,
				   const struct spread_object *o,
				   const struct steer_shift_progress *progress,
				   struct prl_error *err);

/**
 * Builds a view of all services and the given entry VMs, in any order. "self"
 * is the id of the VM that uses the view. The view has one reference; any
 * thread may drop it with config_view_release.
 */
struct steer_view *config_build_view(const struct config_builder *b,
				     const struct steer_vm *vm, int nvm,
				     uint64_t self, int64_t revision);

/** Takes a reference to a view; safe from any thread that holds one. */
struct steer_view *config_view_ref(struct steer_view *v);

/** Drops a reference; the last one frees the view. */
void config_view_release(struct steer_view *v);

/** Returns a service of the builder by name, or null. */
const struct steer_service *config_find_service(const struct config_builder *b,
						const char *name);

#endif
