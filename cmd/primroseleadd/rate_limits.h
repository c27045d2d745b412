#ifndef PRIMROSELEADD_RATE_LIMITS_H
#define PRIMROSELEADD_RATE_LIMITS_H

/*
 * Rate limits that upstreams name in their responses: how many requests a
 * second one takes from all VMs together.
 */

/** Handles a rate limit that a traffic thread read; "ctx" is the struct
 * control, "item" a struct proxy_rate_limit, which is freed. */
void rate_limits_handle_local(void *ctx, void *item);

#endif
