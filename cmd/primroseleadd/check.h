#ifndef PRIMROSELEADD_CHECK_H
#define PRIMROSELEADD_CHECK_H

#include <curl/curl.h>
#include <primroselead/fetch.h>
#include <primroselead/receiver.h>
#include <primroselead/steer.h>

/* Health check of an upstream by a single HTTP request. */

struct control;

/** A health check; set the first group of fields before check_start. */
struct check {
	struct control *control;
	uint64_t upstream_id;
	char instance[STEER_NAME_MAX];
	char address[PRL_ADDRESS_MAX];
	/** Path of the health check, allocated with g_malloc; null to make a
	 * connection only. */
	char *path;
	/** Time in ms by which the check must have ended. */
	int64_t deadline_ms;
	/** Called once after a check that was started, unless it is cancelled;
	 * "answered" says whether the upstream itself responded. */
	void (*done)(struct check *k, int answered);
	void *ctx;

	struct fetch fetch;
	int in_flight;
	struct curl_slist *headers;
	/** Id sent with the check, to match the response to it. */
	char request_id[FLEET_NAME_MAX];
	/** When the check was sent. */
	int64_t sent_ms;
	struct receiver answer;
	/** HTTP status and metadata of the response, 0 and "not given" unless
	 * it is whole, and the result of the transfer. */
	int status;
	struct fleet_response_meta response;
	CURLcode result;
};

/** Sets the path to the service's for health checks, or to none if it has none.
 */
void check_set_path(struct check *k, const char *service);

/** As check_set_path, for a service that has been found already; null stands
 * for none. */
void check_use_path_of(struct check *k, const struct fleet_service *config);

/** Starts the check. Returns PRL_OK, PRL_E_IO or PRL_E_MEMORY; after an error
 * "done" is not called. */
enum prl_code check_start(struct check *k, struct prl_error *err);

/** Ends a check that is in flight without calling "done", and frees its path.
 */
void check_finish(struct check *k);

#endif
