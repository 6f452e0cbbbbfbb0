package eventlog

import "github.com/rs/zerolog"

// Events of configuration and membership, numbered from 4000.
var (
	ConfigurationAdopted = Event{
		4000, "configuration_adopted", zerolog.InfoLevel,
		"A newer version of the configuration is in force in this process.", "none",
	}
	ConfigurationRefused = Event{
		4001, "configuration_refused", zerolog.WarnLevel,
		"A newer bundle is malformed, incomplete, corrupt or invalid; the running version stays in force.",
		"Read the reason and publish a complete bundle under a higher version.",
	}
	ConfigurationOlderOffered = Event{
		4002, "configuration_older_offered", zerolog.WarnLevel,
		"The configuration service offers an older bundle than the one in force, which stays in force.",
		"If the older content is wanted, publish it under a higher version.",
	}
	ConfigurationServiceUnreachable = Event{
		4003, "configuration_service_unreachable", zerolog.WarnLevel,
		"The configuration service does not answer; the running version stays in force.",
		"Restore the service before the next publication.",
	}
	ConfigurationServiceReachable = Event{
		4004, "configuration_service_reachable", zerolog.InfoLevel,
		"The configuration service answers again.", "none",
	}
	ConfigurationPeersSilent = Event{
		4005, "configuration_peers_silent", zerolog.WarnLevel,
		"No peer answered a starting process, which now trusts the configuration service.",
		"Check the peer addresses in the settings if other processes are running.",
	}
	InstanceListUnreachable = Event{
		4006, "instance_list_unreachable", zerolog.WarnLevel,
		"The instance list does not answer; the last list stays in use.", "Restore the instance list.",
	}
	InstanceListReachable = Event{
		4007, "instance_list_reachable", zerolog.InfoLevel,
		"The instance list answers again.", "none",
	}
	InstanceListRefused = Event{
		4008, "instance_list_refused", zerolog.WarnLevel,
		"The instance list's answer is malformed or lost all instances; the last list stays in use.",
		"Check the instance list.",
	}
)

func configurationEvents() []Event {
	return []Event{
		ConfigurationAdopted, ConfigurationRefused, ConfigurationOlderOffered,
		ConfigurationServiceUnreachable, ConfigurationServiceReachable, ConfigurationPeersSilent,
		InstanceListUnreachable, InstanceListReachable, InstanceListRefused,
	}
}
