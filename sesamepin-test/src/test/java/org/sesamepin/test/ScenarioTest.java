package org.sesamepin.test;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.ExcludeTags;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of the feature files with Cucumber. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ExcludeTags("known-red")
@ConfigurationParameter(key = "cucumber.glue", value = "org.sesamepin.test")
@ConfigurationParameter(key = "cucumber.plugin", value = "summary")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class ScenarioTest {}
