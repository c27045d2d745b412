# Generates from codes.def the enum of result codes, their C table, or the
# reference page. Usage:
#   awk -F'|' -f tools/codes.awk -v out=header|table|page codes.def
#
# A line of codes.def: NUMBER|NAME|EXIT STATUS|MEANING|REMEDY

/^#/ { next }
{
	n++
	number[n] = $1
	name[n] = $2
	status[n] = $3
	meaning[n] = $4
	remedy[n] = $5
}

END {
	if (out == "header") {
		print "/* Generated from schema/def/codes.def; do not edit. */"
		print "#ifndef PRIMROSELEAD_CODES_H\n#define PRIMROSELEAD_CODES_H\n"
		print "/** Numbered result codes; docs/ERRORS.md explains each. */"
		print "enum prl_code {"
		for (i = 1; i <= n; i++)
			printf "\t/** %s */\n\tPRL_%s = %d,\n", meaning[i], (number[i] == 0 ? "" : "E_") name[i], number[i]
		print "};\n\n#endif"
	}
	if (out == "table") {
		print "/* Generated from schema/def/codes.def; do not edit. */"
		print "#include <primroselead/error.h>\n"
		print "const struct prl_code_info prl_codes[] = {"
		for (i = 1; i <= n; i++)
			printf "\t{\"%s\", %d, \"%s\"},\n", name[i], status[i], meaning[i]
		print "};\n"
		printf "const int prl_codes_count = %d;\n", n
	}
	if (out == "page") {
		print "# Result codes\n"
		print "Written from `schema/def/codes.def`. A code is passed down in `struct prl_error`,"
		print "printed with its name, and turned into the exit status of the command.\n"
		print "| code | name | exit status | meaning | what to do |\n| --- | --- | --- | --- | --- |"
		for (i = 1; i <= n; i++)
			printf "| %d | %s | %d | %s | %s |\n", number[i], name[i], status[i], meaning[i], remedy[i]
	}
}
