#include "reload.h"
#include "control.h"
#include <apr_file_info.h>
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <string.h>

/* Largest settings file, in bytes. */
#define SETTINGS_FILE_MAX_BYTES (64 << 10)

/* Interval between checks of the settings file's modification time, in ms. */
#define MTIME_CHECK_INTERVAL_MS 1000

enum prl_code settings_read(const char *path, apr_pool_t *pool,
			    struct prl_settings *s, struct prl_error *err)
{
	struct prl_faults *faults = apr_pcalloc(pool, sizeof(*faults));
	enum prl_code rc;
	char *text;
	size_t len;

	if (!faults)
		return prl_error_set(err, PRL_E_MEMORY,
				     "settings file \"%s\": out of memory",
				     path);
	g_strlcpy(faults->file, path, sizeof(faults->file));
	rc = prl_file_read(path, SETTINGS_FILE_MAX_BYTES, pool, &text, &len,
			   err);
	if (!rc)
		rc = config_settings_parse(text, len, s, pool, faults, err);
	prl_faults_print(faults, stderr);
	return rc;
}

static void reload(struct control *c, const char *why)
{
	struct prl_settings *s;
	struct fleet_bounds bounds;
	struct prl_error err = {0};
	apr_pool_t *pool;

	if (apr_pool_create(&pool, c->pool))
		return;
	s = apr_pcalloc(pool, sizeof(*s));
	if (s && !settings_read(c->reload.path, pool, s, &err) &&
	    !control_read_bounds(s, &bounds, &err)) {
		c->bounds = bounds;
		proxy_set_bounds(&c->proxy, &bounds);
	}
	log_event(LOG_LEVEL_AUDIT, "reload", "why", why, "error", err.text,
		  NULL);
	apr_pool_destroy(pool);
}

static int64_t settings_mtime(const struct control *c)
{
	apr_finfo_t info;
	apr_pool_t *pool;
	int64_t at = 0;

	if (apr_pool_create(&pool, c->pool))
		return 0;
	if (!apr_stat(&info, c->reload.path, APR_FINFO_MTIME, pool))
		at = info.mtime;
	apr_pool_destroy(pool);
	return at;
}

void reload_signalled(struct control *c)
{
	c->reload.mtime_us = settings_mtime(c);
	reload(c, "signal");
}

void reload_tick(struct control *c, int64_t now)
{
	int64_t at;

	if (now < c->reload.next_check_ms)
		return;
	c->reload.next_check_ms = now + MTIME_CHECK_INTERVAL_MS;
	at = settings_mtime(c);
	if (c->reload.mtime_us && at && at != c->reload.mtime_us)
		reload(c, "file");
	if (at)
		c->reload.mtime_us = at;
}
