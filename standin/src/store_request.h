#ifndef STANDIN_STORE_REQUEST_H
#define STANDIN_STORE_REQUEST_H

#include <glib.h>
#include <microhttpd.h>
#include <primroselead/loop.h>
#include <primroselead/store.h>

/** A request, from its request line until the response is sent. */
struct request {
	struct MHD_Connection *conn;
	char method[8];
	char path[STORE_KEY_MAX * 3 + 32];
	/** Kind in the path. */
	char kind[STORE_KEY_MAX];
	/** "KIND/NAME"; empty if the path has no name. */
	char key[STORE_KEY_MAX * 3];
	GString *body;
	struct loop_timer timer;
	int suspended;
	/** 1 once the request was suspended for a watch or a delay. */
	int waited;
	/** 1 once a write has taken effect. */
	int applied;
	/** Response to a write. */
	unsigned int status;
	char *result_json;
	/** Revision after which a watch wants changes. */
	int64_t after_revision;
	/** Next in the list of watchers. */
	struct request *next;
};

/** Creates a request without a body; its timer is not in a loop and has no
 * action yet. */
struct request *store_request_new(struct MHD_Connection *conn, const char *url,
				  const char *method);

int store_request_is_write(const struct request *r);

/** Parses kind and name from the path. Returns 0, or -1 if the path is not in
 * the object API. */
int store_request_parse_path(struct request *r);

void store_request_free(struct request *r);

#endif
