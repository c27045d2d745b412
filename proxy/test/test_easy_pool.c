/* Reuse of libcurl's handles. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "attempt.h"
#include "easy_pool.h"
#include <arpa/inet.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* Bytes of the response's body: more than one receive buffer. */
#define BODY_BYTES 100000

#define CONNECT_TIMEOUT_S 5L

/* Readings of the clock during which a process may stand still. */
#define CLOCK_READINGS 40

/* Answers requests on a listening socket until that is shut down. */
static void *serve(void *ctx)
{
	static char body[BODY_BYTES];
	char request[1024];
	char head[100];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
			 BODY_BYTES);
	int fd;

	while ((fd = accept(*(int *)ctx, NULL, NULL)) >= 0) {
		if (read(fd, request, sizeof(request)) > 0 &&
		    send(fd, head, (size_t)n, MSG_NOSIGNAL) == n)
			send(fd, body, sizeof(body), MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

/* Listens on a free port of loopback. Returns the socket. */
static int listen_on_loopback(char url[64])
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(fd, 4), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	snprintf(url, 64, "http://127.0.0.1:%d/", ntohs(addr.sin_port));
	return fd;
}

static size_t largest_block;
static size_t received;

static size_t on_download(char *data, size_t size, size_t n, void *ctx)
{
	(void)data;
	(void)ctx;
	if (size * n > largest_block)
		largest_block = size * n;
	received += size * n;
	return size * n;
}

/* Runs a transfer to its end, for 5 s at most. */
static CURLcode run(CURLM *multi, CURL *easy)
{
	CURLcode result = CURLE_AGAIN;
	int running = 1;
	int left;
	CURLMsg *msg;

	for (int i = 0; running && i < 250; i++) {
		curl_multi_perform(multi, &running);
		curl_multi_poll(multi, NULL, 0, 20, NULL);
	}
	while ((msg = curl_multi_info_read(multi, &left)))
		result = msg->data.result;
	curl_multi_remove_handle(multi, easy);
	return result;
}

/* Readings of the clock until it jumps, and how far it has jumped. */
static _Thread_local int readings_left;
static _Thread_local time_t jumped_s;

/* The clock as libcurl reads it. */
int clock_gettime(clockid_t __clock_id, struct timespec *__tp)
{
	int rc = (int)syscall(SYS_clock_gettime, __clock_id, __tp);

	if (readings_left && !--readings_left)
		jumped_s += 2 * CONNECT_TIMEOUT_S;
	__tp->tv_sec += jumped_s;
	return rc;
}

static CURLcode run_transfer(CURLM *multi, struct easy_pool *pool,
			     const char *url)
{
	CURL *easy = easy_pool_get(pool);
	CURLcode result;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT, CONNECT_TIMEOUT_S);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_download);
	curl_multi_add_handle(multi, easy);
	result = run(multi, easy);
	easy_pool_put(pool, easy);
	return result;
}

/* A process that stands still for longer than the connect timeout as it begins
 * a connection ends the transfer without one. libcurl then keeps the handle's
 * receive buffer, and refuses to set its size for the next transfer, which
 * would read more than the buffer holds. */
static void test_stall_while_a_connection_begins(void **state)
{
	CURLM *multi = curl_multi_init();
	struct easy_pool pool = {0};
	char url[64];
	int fd = listen_on_loopback(url);
	int timed_out = 0;
	pthread_t server;

	(void)state;
	pthread_create(&server, NULL, serve, &fd);
	for (int n = 1; n <= CLOCK_READINGS; n++) {
		readings_left = n;
		timed_out += run_transfer(multi, &pool, url) ==
			     CURLE_OPERATION_TIMEDOUT;
		readings_left = 0;
		received = 0;
		assert_int_equal(run_transfer(multi, &pool, url), CURLE_OK);
		assert_int_equal(received, BODY_BYTES);
		assert_true(largest_block <= EASY_RECEIVE_BUFFER_BYTES);
	}
	assert_true(timed_out > 0);
	easy_pool_finish(&pool);
	curl_multi_cleanup(multi);
	shutdown(fd, SHUT_RDWR);
	pthread_join(server, NULL);
	close(fd);
}

/* A request whose transfer ended while its upload was paused must not act on
 * the handle any more: another request may have it. */
static void test_ended_transfer_leaves_no_handle(void **state)
{
	static struct proxy_thread t;
	struct proxy_request r = {.thread = &t,
				  .transfer_active = 1,
				  .upload_paused = 1,
				  .download_paused = 1};

	(void)state;
	r.fetch.easy = easy_pool_get(&t.easy_pool);
	request_cleanup_transfer(&r);
	assert_int_equal(t.easy_pool.nidle, 1);
	assert_null(r.fetch.easy);
	assert_int_equal(r.upload_paused, 0);
	assert_int_equal(r.download_paused, 0);
	easy_pool_finish(&t.easy_pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ended_transfer_leaves_no_handle),
		cmocka_unit_test(test_stall_while_a_connection_begins),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
