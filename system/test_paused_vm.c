/* A VM that stood still for some seconds. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define REQUESTS 10

/* Longer than any deadline of the requests, in ms. */
#define PAUSE_MS 3000

/* Returns once all threads of the process stand still. */
static void pause_process(pid_t pid)
{
	int status;

	kill(pid, SIGSTOP);
	assert_int_equal(waitpid(pid, &status, WUNTRACED), pid);
	assert_true(WIFSTOPPED(status));
}

static int send_and_leave(int port, const char *path, int i)
{
	char text[400];
	int fd = harness_connect(port);

	assert_true(fd >= 0);
	snprintf(text, sizeof(text),
		 "POST %s HTTP/1.1\r\nHost: h.example\r\n"
		 "X-Request-Id: paused-%d\r\nRelay-Attempts: 2\r\n"
		 "X-Deadline-Remaining-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi",
		 path, i);
	assert_int_equal(send(fd, text, strlen(text), 0), strlen(text));
	return fd;
}

/* Requests that arrived while the VM stood still, and whose callers have left
 * since, must not run. */
static void expect_nothing_runs(int port)
{
	int64_t before = routes_runs_of_s();
	int fd[REQUESTS];

	pause_process(routes_vm_pid[1]);
	for (int i = 0; i < REQUESTS; i++)
		fd[i] = send_and_leave(port, "/once/plain", i);
	harness_sleep_ms(PAUSE_MS);
	for (int i = 0; i < REQUESTS; i++)
		close(fd[i]);
	kill(routes_vm_pid[1], SIGCONT);
	harness_sleep_ms(1500);
	assert_int_equal(routes_runs_of_s() - before, 0);
}

static void test_request_runs_after_its_caller_left(void **state)
{
	(void)state;
	expect_nothing_runs(HTTP_PORT(1));
}

static void test_relayed_request_runs_after_its_vm_left(void **state)
{
	(void)state;
	expect_nothing_runs(PORT_BASE + 100 + 1);
}

/* Requests whose callers still wait are served. */
static void test_waiting_caller_is_served(void **state)
{
	struct http_response resp;

	(void)state;
	pause_process(routes_vm_pid[1]);
	harness_signal_later(routes_vm_pid[1], 0, SIGCONT, 1000);
	resp = routes_request("GET", "/safe/plain");
	routes_expect_complete(&resp);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_runs_after_its_caller_left),
		cmocka_unit_test(test_relayed_request_runs_after_its_vm_left),
		cmocka_unit_test(test_waiting_caller_is_served),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
