#ifndef PLACE_TEST_CHOOSE_FIXTURE_H
#define PLACE_TEST_CHOOSE_FIXTURE_H

#include <primroselead/place.h>

/* Service and upstreams for the tests of place_choose. */

#define REGIONS 2
#define PER_REGION 3
#define UPSTREAMS (REGIONS * PER_REGION)
#define SLOTS 4

extern struct steer_upstream upstream[UPSTREAMS];
extern struct steer_service service;
extern struct place_upstream_stats stats[UPSTREAMS];
extern struct place_service_state service_state;
extern int own_outstanding[UPSTREAMS];
extern int64_t now_ms;

/** Clears the state: all upstreams are active and have no requests. */
int setup(void **unused);

/** Request for an object, that may go to any region. */
struct place_request make_request(uint64_t object);

/** Sets the requests that each upstream of a region has from this process. */
void set_outstanding(int region, int requests);

int choose_for_object(uint64_t object, struct place_decision *out);

#endif
