#ifndef PRIMROSELEADD_RATE_LIMITS_H
#define PRIMROSELEADD_RATE_LIMITS_H

#include <primroselead/wire.h>
#include <stdint.h>

/*
 * Rate limits that upstreams name in their responses: how many requests a
 * second one takes from all VMs together. Only VMs that sent it a request are
 * told, so each tells all others; the view gives each VM its part of the limit.
 */

struct control;

/** Limits that other VMs are to be told of, each upstream once. */
struct rate_limits {
	struct wire_limit pending[WIRE_LIMITS_MAX];
	/** Storage of the instance names in "pending". */
	char instance[WIRE_LIMITS_MAX][WIRE_NAME + 1];
	int npending;
};

/** Handles a rate limit that a traffic thread read; "ctx" is the struct
 * control, "item" a struct proxy_rate_limit, which is freed. */
void rate_limits_handle_local(void *ctx, void *item);

/** Handles limits that another VM read. */
void rate_limits_handle_remote(struct control *c, const struct wire_request *r,
			       const struct wire_limits *limits);

/** Tells the other VMs what is pending. */
void rate_limits_tick(struct control *c);

#endif
