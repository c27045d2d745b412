#include "request.h"
#include "soak.h"
#include <curl/curl.h>
#include <stdio.h>

/* Requests sent to one VM before another one is chosen, at most. */
#define REQUESTS_PER_VM_MAX 40

struct caller {
	struct soak *soak;
	int number;
	GRand *random;
	/** Keeps its connection from one request to the next. */
	CURL *easy;
	GThread *thread;
};

static struct caller callers[64];

static void send_request(struct caller *c, int vm, int serial)
{
	struct soak *s = c->soak;
	struct soak_request q = {.vm = vm, .pid = s->vm_pid_now[vm]};

	snprintf(q.id, sizeof(q.id), "c%d-%d", c->number, serial);
	soak_send_request(c->easy, c->random, s->is_quiet, &q);
	g_mutex_lock(&s->requests_lock);
	g_array_append_val(s->requests, q);
	g_mutex_unlock(&s->requests_lock);
}

static int draw_vm(struct caller *c)
{
	struct soak *s = c->soak;

	for (int i = 0; i < 50; i++) {
		int vm = g_rand_int_range(c->random, 1, s->options.vms + 1);

		if (s->vm_state[vm] == SOAK_VM_UP)
			return vm;
	}
	return 0;
}

/* A caller uses a VM and its connection for some requests, also while that VM
 * stops, until the process is gone. */
static void *run_caller(void *ctx)
{
	struct caller *c = ctx;
	struct soak *s = c->soak;
	int serial = 0;

	while (!s->stopped) {
		int vm = draw_vm(c);
		int n = g_rand_int_range(c->random, 1, REQUESTS_PER_VM_MAX);

		while (vm && n-- && !s->stopped &&
		       s->vm_state[vm] != SOAK_VM_DOWN) {
			send_request(c, vm, ++serial);
			g_usleep((gulong)g_rand_int_range(c->random, 5000,
							  40000));
		}
		if (!vm)
			g_usleep(20000);
	}
	return NULL;
}

void soak_start_callers(struct soak *s)
{
	for (int i = 0; i < s->options.callers; i++) {
		struct caller *c = &callers[i];

		c->soak = s;
		c->number = i;
		c->random = g_rand_new_with_seed(
			(guint32)(s->options.seed * 1000 + (uint64_t)i));
		c->easy = curl_easy_init();
		c->thread = g_thread_new("caller", run_caller, c);
	}
}

void soak_join_callers(struct soak *s)
{
	for (int i = 0; i < s->options.callers; i++) {
		g_thread_join(callers[i].thread);
		curl_easy_cleanup(callers[i].easy);
		g_rand_free(callers[i].random);
	}
}
