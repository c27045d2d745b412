#ifndef PRIMROSELEAD_COMMAND_H
#define PRIMROSELEAD_COMMAND_H

#include <primroselead/config.h>
#include <primroselead/store.h>

/** Store address if neither --store nor the environment gives one. */
#define DEFAULT_STORE_ADDRESS "127.0.0.1:7000"

/** Environment variable that holds the store's address. */
#define STORE_ADDRESS_ENV "PRIMROSELEAD_STORE"

/** Timeout of one call to the store or to a VM, in milliseconds. */
#define CALL_TIMEOUT_MS 3000

/** Resources and options that the subcommands share. */
struct command {
	/** Lives until command_finish. */
	apr_pool_t *pool;
	struct loop loop;
	struct fetch_pool fetches;
	struct store store;
	/** Nonzero: output is JSON instead of text. */
	int json;
	/** Error of the last function below that returned one. */
	struct prl_error err;
};

/** A service file that has been read and checked. */
struct service_file {
	const char *path;
	/** NUL-terminated, allocated from the command's pool. */
	const char *text;
	struct prl_service service;
};

/**
 * Creates the pool, the event loop and the client of the store. A null address
 * stands for the environment variable, then for the default. Returns PRL_OK, or
 * PRL_E_MEMORY or the event loop's error.
 */
enum prl_code command_init(struct command *c, const char *address);

/** Frees everything that command_init created. */
void command_finish(struct command *c);

/**
 * Reads one object of the store into call->object[0]. Returns PRL_OK,
 * PRL_E_NOT_FOUND if the object does not exist, PRL_E_STORE_DOWN, or an error
 * of the client. The caller frees the result by store_call_finish.
 */
enum prl_code command_read_object(struct command *c, const char *key,
				  struct store_call *call);

/**
 * Fetches a page from a VM's HTTP address. The text is NUL-terminated and
 * allocated from the pool. Returns PRL_OK, PRL_E_IO if the transfer failed,
 * timed out or may not be whole, PRL_E_NOT_READY if the HTTP status isn't 200,
 * or PRL_E_MEMORY.
 */
enum prl_code command_fetch_page(struct command *c, const char *address,
				 const char *path, char **text);

/**
 * Reads and checks n service files into out[0] to out[n - 1]. Prints the faults
 * of all files to standard error. Returns PRL_OK if all are valid, else the
 * error of the last one that isn't.
 */
enum prl_code command_read_services(struct command *c, const char *const *paths,
				    int n, struct service_file *out);

/** Subcommands. Each takes its name in argv[0] and returns the exit status. */
int command_check(int argc, char **argv);
int command_publish(int argc, char **argv);
int command_status(int argc, char **argv);
int command_history(int argc, char **argv);
int command_show(int argc, char **argv);
int command_lookup(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_quarantine(int argc, char **argv);

/** Prints an error to standard error and returns its exit status. */
int command_report_error(const struct prl_error *err);

/**
 * Parses a subcommand's arguments. The argtable2 table begins with the help
 * option and ends with an arg_end. Returns 1 if the subcommand shall run, with
 * *exit_status 0. Returns 0 after the help was printed, with *exit_status 0 if
 * it was asked for, else that of PRL_E_USAGE.
 */
int command_parse_options(int argc, char **argv, void **table,
			  const char *description, int *exit_status);

#endif
