#ifndef SERVE_FIXTURE_H
#define SERVE_FIXTURE_H

#include <stddef.h>

/*
 * A listener in a thread of its own. Each answer tells the path, the length of
 * the body, and how much memory the connection had.
 */

/** Memory of a connection, and of one whose heads need more. */
#define USUAL_BYTES (32 << 10)
#define LARGE_BYTES (640 << 10)

#define CONNECTIONS_MAX 20

/** Connections with the larger memory at most; 0 for no bound of their own. May
 * be set before the listener is started. */
extern unsigned int serve_large_max;

/** Time after which an answer is taken not to come, in s. */
#define WAIT_S 3

/** Starts and stops the listener; setup and teardown of a test. */
int serve_setup(void **state);
int serve_teardown(void **state);

/** Highest number of connections that the listener had. */
int serve_most_connections(void);

/** Path of an answer that does not end. */
#define ENDLESS_PATH "/endless"

/** Bytes of such answers that the listener has handed to the kernel or holds.
 */
size_t serve_endless_bytes(void);

/** Connects an open socket to the listener. */
void dial_with(int fd);

/** Returns a connected socket. */
int dial(void);

void say(int fd, const char *text, size_t len);

/** Reads one answer, byte by byte, since others may follow. Returns 0, or -1 if
 * none comes. */
int hear(int fd, char *body, size_t size);

/** Reads an answer that tells these. */
void expect(int fd, const char *path, size_t body, size_t memory);

/** Formats a head with a number of short fields and one last line; to be freed
 * with g_free. */
char *format_head(const char *method, const char *path, int nfield,
		  const char *last);

/** Sends such a head. */
void ask(int fd, const char *method, const char *path, int nfield,
	 const char *last);

#endif
