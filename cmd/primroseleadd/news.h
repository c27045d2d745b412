#ifndef PRIMROSELEADD_NEWS_H
#define PRIMROSELEADD_NEWS_H

#include <primroselead/inventory.h>
#include <primroselead/wire.h>

/*
 * What upstreams say of themselves in their responses: that they take a limited
 * number of requests a second from all VMs together, that they leave, that they
 * want none from this VM for a while. Only VMs that sent a request are told, so
 * each tells all others of what concerns them, too.
 */

struct control;

/** News that other VMs are to be told. */
struct news {
	struct wire_news pending[WIRE_NEWS_MAX];
	/** Storage of the instance names in "pending". */
	char instance[WIRE_NEWS_MAX][WIRE_NAME + 1];
	int npending;
};

/** Handles news that a traffic thread read; "ctx" is the struct control, "item"
 * a struct proxy_news, which is freed. */
void news_handle_local(void *ctx, void *item);

/** Response to a health check. */
struct news_check {
	struct inventory_upstream_key key;
	/** HTTP status. */
	int status;
	const struct fleet_response_meta *meta;
	/** When the check was sent. */
	int64_t sent_ms;
};

/** Handles what the response to a health check says. */
void news_handle_check(struct control *c, const struct news_check *check);

/** Handles news that another VM read. */
void news_handle_remote(struct control *c, const struct wire_request *r,
			const struct wire_news_list *list);

/** Tells the other VMs what is pending. */
void news_tick(struct control *c);

#endif
