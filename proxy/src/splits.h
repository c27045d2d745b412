#ifndef PROXY_SPLITS_H
#define PROXY_SPLITS_H

#include <primroselead/proxy.h>

/** Returns the credits of the services of a route's split, for
 * steer_next_split(). */
int64_t *splits_credit(struct proxy_splits *s, const struct steer_route *route);

/** Forgets the routes that a new version of the manifest no longer has. */
void splits_forget(struct proxy_splits *s, const struct steer_view *v);

void splits_finish(struct proxy_splits *s);

#endif
