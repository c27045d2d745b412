#include "runs.h"
#include <glib.h>
#include <primroselead/clock.h>
#include <pthread.h>

struct run {
	int times;
	/** Time of the last one, in ms of Unix time. */
	int64_t last_wall_ms;
};

/* struct run by request id. */
static GHashTable *runs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

void runs_init(void)
{
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void runs_add(const char *id)
{
	struct run *run;

	pthread_mutex_lock(&lock);
	run = g_hash_table_lookup(runs, id);
	if (!run) {
		run = g_new0(struct run, 1);
		g_hash_table_insert(runs, g_strdup(id), run);
	}
	run->times++;
	run->last_wall_ms = prl_wall_ms();
	pthread_mutex_unlock(&lock);
}

char *runs_format(void)
{
	GString *text = g_string_new(NULL);
	GHashTableIter it;
	void *id;
	void *value;

	pthread_mutex_lock(&lock);
	g_hash_table_iter_init(&it, runs);
	while (g_hash_table_iter_next(&it, &id, &value)) {
		const struct run *run = value;

		g_string_append_printf(text, "%s %d %lld\n", (char *)id,
				       run->times,
				       (long long)run->last_wall_ms);
	}
	pthread_mutex_unlock(&lock);
	return g_string_free(text, FALSE);
}
