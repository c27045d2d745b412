#ifndef PRIMROSELEAD_CONFIG_H
#define PRIMROSELEAD_CONFIG_H

#include <glib.h>
#include <primroselead/schema.h>
#include <primroselead/service.h>
#include <primroselead/settings.h>
#include <primroselead/spread.h>
#include <primroselead/steer.h>

/** Longest service file in bytes; with its header it must fit one datagram. */
#define CONFIG_FILE_MAX 32768

/** Publications that a service's header remembers. */
#define CONFIG_HISTORY_MAX 20

/** Reads and checks the text of a service file. */
enum prl_code config_service_parse(const char *text, size_t len,
				   struct prl_service *out, apr_pool_t *pool,
				   struct prl_faults *faults,
				   struct prl_error *err);

/** Reads and checks the settings of a VM. */
enum prl_code config_settings_parse(const char *text, size_t len,
				    struct prl_settings *out, apr_pool_t *pool,
				    struct prl_faults *faults,
				    struct prl_error *err);

/** One publication of a service. */
struct config_publication {
	/** Names the publication; random. */
	char id[20];
	/** Version that it replaced; 0 if it was the first. */
	int64_t replaced_version;
	/** Who published, and when in ms since 1970. */
	char publisher[PRL_NAME_MAX];
	int64_t published_ms;
	/** Hash of the file's text. */
	uint64_t digest;
};

/** The publications of one service, newest first. */
struct config_history {
	struct config_publication publication[CONFIG_HISTORY_MAX];
	int npublication;
};

/**
 * Puts a header of publications before a file's text, as comments, so that
 * one update of one object holds the file and its history. Freed by g_free.
 */
char *config_history_prepend(const struct config_history *h, const char *text);

/** Reads the header; returns where the file's own text begins. */
const char *config_history_parse(const char *value, struct config_history *h);

/** Puts a publication before the others; the oldest falls out. */
void config_history_add(struct config_history *h,
			const struct config_publication *p);

/** A VM of the platform's list. */
struct config_vm {
	char name[PRL_NAME_MAX];
	/** Else an upstream. */
	int is_entry;
	/** Leaving, or removed from the list. */
	enum steer_state state;
	char region[PRL_NAME_MAX];
	char domain[PRL_NAME_MAX];
	char http[PRL_ADDRESS_MAX];
	char rpc[PRL_ADDRESS_MAX];
};

/** Reads an entry of the platform's list. */
enum prl_code config_vm_parse(const struct spread_object *o,
			      struct config_vm *out, struct prl_error *err);

/** Reads the progress of a shift; nothing moved if the text isn't valid. */
struct steer_shift_progress
config_progress_parse(const struct spread_object *o);

/** Writes the progress of a shift into a fixed buffer. */
void config_progress_format(const struct steer_shift_progress *p, char *text,
			    size_t size);

/** Most upstreams and holds that one process keeps counters for. */
#define CONFIG_INDEXES_MAX 16384

/** Gives lasting numbers to names. */
struct config_index_table {
	GHashTable *by_name;
	/** Numbers given out so far, and those given back. */
	int nallocated;
	GArray *free_indexes;
	uint64_t round;
};

/** A view under construction; belongs to the control thread. */
struct config_builder {
	/** Names get an index once and keep it. */
	char region[STEER_REGIONS_MAX][STEER_NAME_MAX];
	int nregion;
	GHashTable *domains;
	struct config_index_table upstream_indexes;
	struct config_index_table semaphore_indexes;
	struct config_index_table service_indexes;
	/** Services by name; each a box that views share. */
	GHashTable *services;
	/** State of VMs by address, from the platform's list. */
	GHashTable *vm_state;
};

/** Makes an empty builder. */
void config_builder_init(struct config_builder *b);

/** Frees the builder; views that were built stay good. */
void config_builder_finish(struct config_builder *b);

/** Index of a region, given out when first asked for; -1 if there are too
 * many. */
int config_region_index(struct config_builder *b, const char *name);

/** Index of a failure domain. */
int config_domain_index(struct config_builder *b, const char *name);

/** Notes the state of a VM of the platform's list. Returns 1 if it changed;
 * services with upstreams there must then be built again. */
int config_set_vm_state(struct config_builder *b, const struct config_vm *vm);

/**
 * Rebuilds one service from its object and the progress of its shift; an
 * empty object removes it. A text that isn't valid leaves the one before in
 * force. Returns PRL_OK, PRL_E_CONFIG, PRL_E_LIMIT or PRL_E_MEMORY.
 */
enum prl_code config_build_service(struct config_builder *b,
				   const struct spread_object *o,
				   const struct steer_shift_progress *progress,
				   struct prl_error *err);

/**
 * Builds a view of all services and the given entry VMs, which need no order;
 * "self" is the id of the VM that it is for.
 * It is released by config_view_release from any thread.
 */
struct steer_view *config_build_view(const struct config_builder *b,
				     const struct steer_vm *vm, int nvm,
				     uint64_t self, int64_t revision);

/** Takes one more reference to a view. */
struct steer_view *config_view_ref(struct steer_view *v);

/** Gives a reference back. */
void config_view_release(struct steer_view *v);

/** Service of the builder by name, or null. */
const struct steer_service *config_find_service(const struct config_builder *b,
						const char *name);

#endif
