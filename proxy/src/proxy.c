#include "thread.h"
#include <primroselead/clock.h>
#include <stdlib.h>
#include <string.h>

static void init_shared_tables(struct proxy *p)
{
	for (int i = 0; i < CONFIG_INDEXES_MAX; i++) {
		atomic_init(&p->upstream[i].reported_running, -1);
		limit_semaphore_init(&p->semaphore[i]);
	}
}

enum prl_code proxy_init(struct proxy *p, const struct prl_settings *settings,
			 const struct fleet_bounds *bounds, int region,
			 struct mailbox *claims, struct mailbox *shortages,
			 struct mailbox *news, apr_pool_t *pool,
			 struct prl_error *err)
{
	memset(p, 0, sizeof(*p));
	atomic_init(&p->end_ms, PRL_NEVER);
	atomic_init(&p->end_if_signalled_ms, PRL_NEVER);
	p->settings = settings;
	p->follows_manifest =
		settings->steering.source == PRL_STEERING_SOURCE_MANIFEST;
	p->region = region;
	p->claim_mailbox = claims;
	p->shortage_mailbox = shortages;
	p->news_mailbox = news;
	p->nthread = (int)settings->traffic.threads;
	p->upstream = calloc(CONFIG_INDEXES_MAX, sizeof(*p->upstream));
	p->semaphore = calloc(CONFIG_INDEXES_MAX, sizeof(*p->semaphore));
	p->link_bandwidth =
		calloc(CONFIG_INDEXES_MAX, sizeof(*p->link_bandwidth));
	p->service = calloc(CONFIG_INDEXES_MAX, sizeof(*p->service));
	p->quota = calloc(CONFIG_INDEXES_MAX, sizeof(*p->quota));
	p->thread = calloc((size_t)p->nthread, sizeof(*p->thread));
	p->quarantine = calloc(1, sizeof(*p->quarantine));
	if (apr_thread_mutex_create(&p->status_lock, APR_THREAD_MUTEX_DEFAULT,
				    pool) ||
	    apr_thread_mutex_create(&p->quarantine_lock,
				    APR_THREAD_MUTEX_DEFAULT, pool) ||
	    !p->quarantine || !p->upstream || !p->semaphore ||
	    !p->link_bandwidth || !p->service || !p->quota || !p->thread) {
		proxy_finish(p);
		return prl_error_set(err, PRL_E_MEMORY,
				     "tables of the proxy: out of memory");
	}
	for (int i = 0; i < p->nthread; i++)
		p->thread[i].bounds = *bounds;
	init_shared_tables(p);
	return PRL_OK;
}

void proxy_finish(struct proxy *p)
{
	free(p->upstream);
	free(p->semaphore);
	free(p->link_bandwidth);
	free(p->service);
	free(p->quota);
	free(p->thread);
	free(p->quarantine);
	free(p->status);
}

static void *APR_THREAD_FUNC run_thread(apr_thread_t *self, void *ctx)
{
	struct proxy_thread *t = ctx;

	(void)self;
	loop_run(&t->loop);
	return NULL;
}

enum prl_code proxy_start(struct proxy *p, apr_pool_t *pool,
			  struct prl_error *err)
{
	for (int i = 0; i < p->nthread; i++)
		if (proxy_thread_init(&p->thread[i], p, err))
			return err->code;
	for (int i = 0; i < p->nthread; i++)
		if (apr_thread_create(&p->thread[i].thread, NULL, run_thread,
				      &p->thread[i], pool))
			return prl_error_set(err, PRL_E_MEMORY,
					     "cannot start traffic thread %d",
					     i);
	return PRL_OK;
}

static void broadcast(struct proxy *p, enum proxy_message_type type)
{
	for (int i = 0; i < p->nthread; i++) {
		struct proxy_message *m = g_new0(struct proxy_message, 1);

		m->type = type;
		mailbox_send(&p->thread[i].mailbox, m);
	}
}

void proxy_set_view(struct proxy *p, struct steer_view *v)
{
	for (int i = 0; i < p->nthread; i++) {
		struct proxy_message *m = g_new0(struct proxy_message, 1);

		m->type = PROXY_MESSAGE_VIEW;
		m->u.view = config_view_ref(v);
		mailbox_send(&p->thread[i].mailbox, m);
	}
}

void proxy_set_bounds(struct proxy *p, const struct fleet_bounds *b)
{
	for (int i = 0; i < p->nthread; i++) {
		struct proxy_message *m = g_new0(struct proxy_message, 1);

		m->type = PROXY_MESSAGE_BOUNDS;
		m->u.bounds = *b;
		mailbox_send(&p->thread[i].mailbox, m);
	}
}

void proxy_deliver_claim(struct proxy_claim *c)
{
	struct proxy_message *m = g_new0(struct proxy_message, 1);

	m->type = PROXY_MESSAGE_CLAIM;
	m->u.claim = c;
	mailbox_send(&c->thread->mailbox, m);
}

void proxy_set_status(struct proxy *p, char *text)
{
	char *old;

	apr_thread_mutex_lock(p->status_lock);
	old = p->status;
	p->status = text;
	apr_thread_mutex_unlock(p->status_lock);
	free(old);
}

void proxy_quiesce(struct proxy *p)
{
	broadcast(p, PROXY_MESSAGE_QUIESCE);
}

void proxy_end_requests(struct proxy *p)
{
	broadcast(p, PROXY_MESSAGE_END);
}

int proxy_count_open(const struct proxy *p)
{
	int n = atomic_load(&p->open_requests);

	for (int i = 0; i < p->nthread; i++)
		n += atomic_load(&p->thread[i].connections);
	return n;
}

void proxy_stop(struct proxy *p)
{
	apr_status_t st;

	broadcast(p, PROXY_MESSAGE_STOP);
	for (int i = 0; i < p->nthread; i++)
		apr_thread_join(&st, p->thread[i].thread);
	for (int i = 0; i < p->nthread; i++)
		proxy_thread_finish(&p->thread[i]);
}
