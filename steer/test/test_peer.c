/* Which VMs take over requests, and which are named to callers, while some
 * reach no upstream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/hash.h>
#include <primroselead/steer_peer.h>
#include <stdio.h>
#include <string.h>

#define REGIONS 2
#define DOMAINS 4
#define PER_DOMAIN 3
#define VMS (DOMAINS * PER_DOMAIN)
#define SERVICE 77
#define DRAWS 200

static struct steer_vm vm[VMS];
static struct steer_view view;

/* VM 0 is this one; VMs 0 to 2 are in its domain, 0 to 5 in its region. */
static int setup(void **state)
{
	(void)state;
	memset(vm, 0, sizeof(vm));
	view = (struct steer_view){.vm = vm, .nvm = VMS, .nregion = REGIONS};
	for (int i = 0; i < VMS; i++) {
		vm[i].id = prl_hash_combine(3, (uint64_t)i);
		vm[i].domain = i / PER_DOMAIN;
		vm[i].region = vm[i].domain / (DOMAINS / REGIONS);
		vm[i].state = STEER_ACTIVE;
		snprintf(vm[i].relay_address, PRL_ADDRESS_MAX, "10.0.0.%d:1",
			 i);
	}
	for (int r = 0; r <= STEER_REGIONS_MAX; r++)
		view.first_vm[r] = r < REGIONS ? r * VMS / REGIONS : VMS;
	return 0;
}

static void isolate(int first, int end)
{
	for (int i = first; i < end; i++) {
		vm[i].isolated[0] = SERVICE;
		vm[i].nisolated = 1;
	}
}

/* Draws many times; sets the bit of each VM that was chosen. */
static uint32_t chosen_for(const struct steer_peer_request *from)
{
	uint32_t chosen = 0;

	for (uint64_t k = 0; k < DRAWS; k++) {
		struct steer_peer_request req = *from;
		int i;

		req.random = prl_hash_combine(k, 5);
		i = steer_choose_peer(&view, &req);
		if (i == STEER_NONE)
			return 0;
		chosen |= (uint32_t)1 << i;
	}
	return chosen;
}

static uint32_t chosen(void)
{
	return chosen_for(&(struct steer_peer_request){.service = SERVICE});
}

static void test_nearest_vms_take_over(void **state)
{
	(void)state;
	assert_int_equal(chosen(), 0x006);
	/* A domain with a single VM left does not take everything. */
	isolate(1, 2);
	assert_int_equal(chosen(), 0x03c);
	isolate(1, 5);
	assert_int_equal(chosen(), 0xfe0);
	isolate(1, VMS);
	assert_int_equal(chosen(), 0);
}

static void test_isolated_vm_takes_over(void **state)
{
	(void)state;
	isolate(2, 3);
	vm[3].isolated_from_all = 1;
	vm[4].state = STEER_LEAVING;
	assert_int_equal(chosen(), 0x022);
	/* Isolated from another service only. */
	vm[2].isolated[0] = SERVICE + 1;
	assert_int_equal(chosen(), 0x006);
}

static void test_homes_bind_the_other_vm(void **state)
{
	struct steer_peer_request req = {.service = SERVICE,
					 .region_mask = 1U << 1};

	(void)state;
	assert_int_equal(chosen_for(&req), 0xfc0);
	isolate(6, VMS);
	assert_int_equal(chosen_for(&req), 0);
}

static void test_avoided_vm_is_chosen(void **state)
{
	struct steer_peer_request req = {
		.service = SERVICE, .avoided = &vm[1].id, .navoided = 1};

	(void)state;
	assert_int_equal(chosen_for(&req), 0x03c);
}

/* Chooses often for region 1, whose domains are 2 and 3, as the VM with an
 * index. */
static uint32_t chosen_in_region(int self, int domain)
{
	uint32_t chosen = 0;

	view.self = self;
	for (uint64_t k = 0; k < DRAWS; k++) {
		struct steer_peer_request req = {
			.service = SERVICE, .random = prl_hash_combine(k, 5)};
		int i = steer_choose_region_peer(&view, &req, 1, domain);

		if (i == STEER_NONE)
			return 0;
		chosen |= (uint32_t)1 << i;
	}
	return chosen;
}

/* Two VMs of the domain, not the same for all senders; others if that has
 * none. */
static void test_vms_of_a_region(void **state)
{
	uint32_t all = 0;

	(void)state;
	for (int self = 0; self < 6; self++) {
		uint32_t two = chosen_in_region(self, 2);

		assert_int_equal(__builtin_popcount(two), 2);
		assert_int_equal(two & ~0x1c0U, 0);
		all |= two;
	}
	assert_int_equal(all, 0x1c0);
	vm[6].state = STEER_LEAVING;
	isolate(7, 8);
	assert_int_equal(chosen_in_region(0, 2), 0x100);
	isolate(6, 9);
	assert_int_equal(chosen_in_region(0, 2) & ~0xe00U, 0);
	isolate(6, VMS);
	assert_int_equal(chosen_in_region(0, 2), 0);
}

static int nearby(int region, int out[STEER_NEARBY_MAX])
{
	return steer_nearby_vms(&view, region, out);
}

static void test_isolated_vms_are_named(void **state)
{
	int out[STEER_NEARBY_MAX];

	(void)state;
	assert_int_equal(nearby(0, out), 6);
	for (int i = 0; i < 4; i++)
		vm[i].isolated_from_all = 1;
	assert_int_equal(nearby(0, out), 2);
	assert_int_equal(out[0], 4);
	/* Two must remain: an isolated VM that relays is better than one VM. */
	vm[4].isolated_from_all = 1;
	assert_int_equal(nearby(0, out), 6);
	/* A service that others still serve there does not count. */
	setup(NULL);
	isolate(0, 6);
	assert_int_equal(nearby(0, out), 6);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_nearest_vms_take_over, setup),
		cmocka_unit_test_setup(test_isolated_vm_takes_over, setup),
		cmocka_unit_test_setup(test_homes_bind_the_other_vm, setup),
		cmocka_unit_test_setup(test_vms_of_a_region, setup),
		cmocka_unit_test_setup(test_avoided_vm_is_chosen, setup),
		cmocka_unit_test_setup(test_isolated_vms_are_named, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
