#ifndef PRIMROSELEAD_COMMAND_H
#define PRIMROSELEAD_COMMAND_H

#include <primroselead/config.h>
#include <primroselead/store.h>

/** Address of the store if neither option nor environment names one. */
#define DEFAULT_STORE_ADDRESS "127.0.0.1:7000"

/** Environment variable with the store's address. */
#define STORE_ADDRESS_ENV "PRIMROSELEAD_STORE"

/** Time for one call of the store or a VM, in milliseconds. */
#define CALL_TIMEOUT_MS 3000

/** What every subcommand needs. */
struct command {
	apr_pool_t *pool;
	struct loop loop;
	struct fetch_pool fetches;
	struct store store;
	/** Output is JSON instead of text. */
	int json;
	struct prl_error err;
};

/** A service file that was read and checked. */
struct service_file {
	const char *path;
	const char *text;
	struct prl_service service;
};

/** Opens the client of the store. */
enum prl_code command_init(struct command *c, const char *store);

/** Closes the client. */
void command_finish(struct command *c);

/** Reads one object; PRL_E_NOT_FOUND if there is none. The call must be
 * finished by store_call_finish. */
enum prl_code command_read_object(struct command *c, const char *key,
				  struct store_call *call);

/** Fetches a page of a VM into the pool. */
enum prl_code command_fetch_page(struct command *c, const char *address,
				 const char *path, char **text);

/** Reads and checks service files; prints every fault of each. */
enum prl_code command_read_services(struct command *c, const char *const *paths,
				    int n, struct service_file *out);

/** Subcommands. Each returns the exit status. */
int command_check(int argc, char **argv);
int command_publish(int argc, char **argv);
int command_status(int argc, char **argv);
int command_history(int argc, char **argv);
int command_show(int argc, char **argv);
int command_lookup(int argc, char **argv);
int command_explain(int argc, char **argv);

/** Prints an error to standard error; returns its exit status. */
int command_report_error(const struct prl_error *err);

/** Parses options; prints help or faults. Returns 1 to go on, else 0 with the
 * exit status set. */
int command_parse_options(int argc, char **argv, void **table, const char *help,
			  int *exit_status);

#endif
