#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_general.h>
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/mailbox.h>
#include <pthread.h>

#define SENDERS 4
#define ITEMS 5000

static struct loop loop;
static struct mailbox box;
static int received;
static int last_number[SENDERS];

static void receive(void *ctx, void *item)
{
	uintptr_t v = (uintptr_t)item;
	int sender = (int)(v / 100000) - 1;
	int number = (int)(v % 100000);

	(void)ctx;
	/* The pointers of one sender arrive in the order they were sent. */
	assert_int_equal(number, last_number[sender] + 1);
	last_number[sender] = number;
	if (++received == SENDERS * ITEMS)
		loop_stop(&loop);
}

static void *send_all(void *arg)
{
	uintptr_t base = ((uintptr_t)arg + 1) * 100000;

	for (uintptr_t i = 1; i <= ITEMS; i++)
		mailbox_send(&box, (void *)(base + i));
	return NULL;
}

/* No pointer may be lost, nor a wake-up of the loop, when several threads send
 * at once. */
static void test_mailbox_keeps_all(void **state)
{
	pthread_t t[SENDERS];

	(void)state;
	loop_init(&loop, NULL);
	mailbox_init(&box, &loop, receive, NULL, NULL);
	for (uintptr_t i = 0; i < SENDERS; i++)
		pthread_create(&t[i], NULL, send_all, (void *)i);
	loop_run(&loop);
	for (int i = 0; i < SENDERS; i++)
		pthread_join(t[i], NULL);
	assert_int_equal(received, SENDERS * ITEMS);
	mailbox_finish(&box, &loop);
	loop_finish(&loop);
}

static int timer_runs;

static void on_timer(struct loop_timer *t, int64_t now)
{
	(void)now;
	timer_runs++;
	if (timer_runs < 3)
		t->deadline_ms = prl_now_ms() + 10;
	else
		loop_stop(t->ctx);
}

static void test_timer(void **state)
{
	struct loop l;
	struct loop_timer t = {.on_expiry = on_timer, .ctx = &l};
	int64_t began = prl_now_ms();

	(void)state;
	loop_init(&l, NULL);
	loop_timer_add(&l, &t);
	t.deadline_ms = began + 10;
	loop_run(&l);
	assert_int_equal(timer_runs, 3);
	assert_true(prl_now_ms() - began >= 30);
	loop_timer_remove(&l, &t);
	loop_finish(&l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mailbox_keeps_all),
		cmocka_unit_test(test_timer),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
