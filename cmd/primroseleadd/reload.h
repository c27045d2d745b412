#ifndef PRIMROSELEADD_RELOAD_H
#define PRIMROSELEADD_RELOAD_H

#include <apr_pools.h>
#include <primroselead/codes.h>
#include <primroselead/error.h>
#include <primroselead/settings.h>
#include <stdint.h>

/* Settings file, and reading it again while the daemon runs. */

struct control;

struct reload {
	/** Path of the settings file. */
	const char *path;
	int64_t next_check_ms;
	/**
	 * Last known modification time of the file, in microseconds since 1970;
	 * 0 if unknown.
	 */
	int64_t mtime_us;
};

/**
 * Reads a settings file into a pool and prints its faults to standard error.
 * Returns PRL_OK, PRL_E_CONFIG, PRL_E_IO, PRL_E_LIMIT if the file is too large,
 * or PRL_E_MEMORY.
 */
enum prl_code settings_read(const char *path, apr_pool_t *pool,
			    struct prl_settings *s, struct prl_error *err);

/**
 * Reload the settings: on SIGHUP always, on a tick if the file's modification
 * time has changed. Only the platform's limits take effect; all other settings
 * need a restart.
 */
void reload_signalled(struct control *c);
void reload_tick(struct control *c, int64_t now);

#endif
